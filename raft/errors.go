package raft

import "fmt"

// ConfigError reports an invalid field of Config.
type ConfigError struct {
	Field    string
	Expected string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("raft: configuration field %s: expected %s", e.Field, e.Expected)
}

// NotLeaderError reports that the request requires the leader. Leader is 0 if no leader is known.
type NotLeaderError struct {
	Leader uint64
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("raft: not the leader (leader is %x)", e.Leader)
}

// EntryTooLargeError reports a proposal that exceeds Config.MaxEntryBytes. Sizes are in bytes.
type EntryTooLargeError struct {
	Size, Max uint64
}

func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("raft: entry of %d bytes, at most %d are allowed", e.Size, e.Max)
}

// TransferInProgressError reports that no proposals are accepted until the leadership transfer ends.
type TransferInProgressError struct {
	To uint64
}

func (e *TransferInProgressError) Error() string {
	return fmt.Sprintf("raft: leadership is being transferred to %x", e.To)
}

// NoCommitInTermError reports that the leader has not committed an entry of its term yet and therefore cannot change the
// membership. The caller retries later.
type NoCommitInTermError struct {
	Term uint64
}

func (e *NoCommitInTermError) Error() string {
	return fmt.Sprintf("raft: no entry of term %d has been committed yet", e.Term)
}

// MembershipPendingError reports that an earlier membership change, at Index, is not committed yet.
type MembershipPendingError struct {
	Index uint64
}

func (e *MembershipPendingError) Error() string {
	return fmt.Sprintf("raft: the membership change at index %d is not committed yet", e.Index)
}

// InvalidChangeReason says why a membership change is invalid.
type InvalidChangeReason string

// Reasons of InvalidMembershipChangeError.
const (
	ReasonNoID        InvalidChangeReason = "the member has no ID"
	ReasonIDTaken     InvalidChangeReason = "a member with this ID already exists"
	ReasonNameTaken   InvalidChangeReason = "another member already has this name"
	ReasonNotMember   InvalidChangeReason = "no member has this ID"
	ReasonNotLearner  InvalidChangeReason = "the member is not a learner"
	ReasonNotVoter    InvalidChangeReason = "the member is not a voter"
	ReasonLastVoter   InvalidChangeReason = "the last voter cannot be removed"
	ReasonUnknownType InvalidChangeReason = "the type of the change is unknown"
	ReasonUndecodable InvalidChangeReason = "the change cannot be decoded"
)

// InvalidMembershipChangeError reports a change that cannot be applied to the current membership.
type InvalidMembershipChangeError struct {
	ID     uint64
	Reason InvalidChangeReason
}

func (e *InvalidMembershipChangeError) Error() string {
	return fmt.Sprintf("raft: invalid membership change of member %x: %s", e.ID, e.Reason)
}

// NotCaughtUpError reports that a learner lacks committed entries and cannot be promoted to a voter yet.
type NotCaughtUpError struct {
	ID, Match, Needed uint64
}

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("raft: learner %x is not caught up: synced up to index %d, promotion requires index %d", e.ID, e.Match, e.Needed)
}

// InvalidMessageError reports a message that no correct replica of this group sends to this replica.
type InvalidMessageError struct {
	From   uint64
	Detail string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("raft: invalid message from %x: %s", e.From, e.Detail)
}

// InvariantError reports a violated safety invariant of the log. The replica must stop.
type InvariantError struct {
	Index  uint64
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("raft: invariant violated at index %d: %s", e.Index, e.Detail)
}

// CompactedError is returned by a Storage for an index that has been compacted into a snapshot. First is the first
// available index.
type CompactedError struct {
	Index, First uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("raft: index %d is compacted, the first available index is %d", e.Index, e.First)
}

// UnavailableError is returned by a Storage for an index beyond its last entry, which is at Last.
type UnavailableError struct {
	Index, Last uint64
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("raft: index %d is not stored, the last stored index is %d", e.Index, e.Last)
}
