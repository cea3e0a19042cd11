package controlstate

import "fmt"

// EntryError reports a log entry that cannot be decoded or holds no command. It has no effect on the state.
type EntryError struct {
	Index uint64
	Cause error
}

func (e *EntryError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("log entry %d holds no command", e.Index)
	}
	return fmt.Sprintf("log entry %d cannot be decoded: %v", e.Index, e.Cause)
}

func (e *EntryError) Unwrap() error { return e.Cause }

// AlreadyAppliedError reports an entry that the state includes already. It has no effect on the state.
type AlreadyAppliedError struct {
	Index   uint64
	Applied uint64
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("log entry %d is applied already, state is at %d", e.Index, e.Applied)
}

// ClaimGroupError reports a claim group that cannot be created. It has no effect on the state.
type ClaimGroupError struct {
	Region string
	Fault  ClaimGroupFault
}

// ClaimGroupFault tells why a claim group cannot be created.
type ClaimGroupFault string

// Faults of claim groups.
const (
	FaultUnknownRegion      ClaimGroupFault = "the topology has no such region"
	FaultNoVoters           ClaimGroupFault = "no voters"
	FaultVoterOutsideRegion ClaimGroupFault = "a voter lies outside the region"
	FaultInvalidVoterID     ClaimGroupFault = "a voter without identity or named twice"
)

func (e *ClaimGroupError) Error() string {
	return fmt.Sprintf("claim group of region %q: %s", e.Region, e.Fault)
}

// RevisionError reports a revision whose sections are not kept.
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

// SnapshotFault tells what is wrong with a snapshot.
type SnapshotFault string

// Faults of snapshots.
const (
	FaultEncoding        SnapshotFault = "cannot be decoded"
	FaultUnknownFormat   SnapshotFault = "unknown format"
	FaultRecordSize      SnapshotFault = "records of wrong size"
	FaultInvalidDocument SnapshotFault = "sections do not compile"
)

func (e *SnapshotError) Error() string {
	if e.Cause == nil {
		return "snapshot: " + string(e.Fault)
	}
	return fmt.Sprintf("snapshot: %s: %v", e.Fault, e.Cause)
}

func (e *SnapshotError) Unwrap() error { return e.Cause }
