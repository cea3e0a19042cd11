package controlstate

import "fmt"

// EntryError reports a log entry that cannot be decoded or contains no command. The entry does not change the state.
type EntryError struct {
	Index uint64
	Cause error
}

func (e *EntryError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("log entry %d contains no command", e.Index)
	}
	return fmt.Sprintf("log entry %d cannot be decoded: %v", e.Index, e.Cause)
}

func (e *EntryError) Unwrap() error { return e.Cause }

// AlreadyAppliedError reports a log entry at or below the last applied index. The entry does not change the state.
type AlreadyAppliedError struct {
	Index   uint64
	Applied uint64
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("log entry %d is already applied: the last applied index is %d", e.Index, e.Applied)
}

// SupersededError reports a command for a failure domain that was decided before the last one. The state does not change.
type SupersededError struct {
	FailureDomain string
	// DecidedAt is the log index that the sender of the command knew, Last that of the last command.
	DecidedAt, Last uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("failure domain %q: the command was decided at index %d, before the last one at index %d", e.FailureDomain, e.DecidedAt, e.Last)
}

// ClaimGroupError reports a claim group that cannot be created. The state does not change.
type ClaimGroupError struct {
	Region string
	Fault  ClaimGroupFault
}

// ClaimGroupFault is the reason why a claim group cannot be created.
type ClaimGroupFault string

// Reasons why a claim group cannot be created.
const (
	FaultUnknownRegion      ClaimGroupFault = "the topology has no such region"
	FaultNoVoters           ClaimGroupFault = "no voters"
	FaultVoterOutsideRegion ClaimGroupFault = "a voter is outside the region"
	FaultInvalidVoterID     ClaimGroupFault = "a voter has no ID or is listed twice"
)

func (e *ClaimGroupError) Error() string {
	return fmt.Sprintf("claim group of region %q: %s", e.Region, e.Fault)
}

// RevisionError reports a revision whose sections are not available: it is too old or does not exist yet.
type RevisionError struct {
	Revision uint64
	Oldest   uint64
	Newest   uint64
}

func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept, only %d to %d", e.Revision, e.Oldest, e.Newest)
}

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct {
	Fault SnapshotFault
	Cause error
}

// SnapshotFault is the reason why a snapshot cannot be restored.
type SnapshotFault string

// Reasons why a snapshot cannot be restored.
const (
	FaultEncoding        SnapshotFault = "cannot be decoded"
	FaultUnknownFormat   SnapshotFault = "unknown format"
	FaultRecordSize      SnapshotFault = "invalid record size"
	FaultInvalidDocument SnapshotFault = "the document does not compile"
)

func (e *SnapshotError) Error() string {
	if e.Cause == nil {
		return "snapshot: " + string(e.Fault)
	}
	return fmt.Sprintf("snapshot: %s: %v", e.Fault, e.Cause)
}

func (e *SnapshotError) Unwrap() error { return e.Cause }
