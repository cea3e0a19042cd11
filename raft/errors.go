package raft

import "fmt"

// ConfigError reports a field of Config that cannot be used.
type ConfigError struct {
	Field    string
	Expected string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("raft: configuration field %s: expected %s", e.Field, e.Expected)
}

// NotLeaderError reports that only the leader can do what was asked. Leader is 0 if no leader is known.
type NotLeaderError struct {
	Leader uint64
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("raft: not the leader (leader is %x)", e.Leader)
}

// EntryTooLargeError reports a proposal above Config.MaxEntryBytes. Sizes are in bytes.
type EntryTooLargeError struct {
	Size, Max uint64
}

func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("raft: entry of %d bytes, at most %d are allowed", e.Size, e.Max)
}

// TransferInProgressError reports that proposals wait until the leadership transfer ends.
type TransferInProgressError struct {
	To uint64
}

func (e *TransferInProgressError) Error() string {
	return fmt.Sprintf("raft: leadership is being transferred to %x", e.To)
}

// NoCommitInTermError reports that the leader has not committed an entry of its term yet, so it cannot change the
// membership. The caller tries again.
type NoCommitInTermError struct {
	Term uint64
}

func (e *NoCommitInTermError) Error() string {
	return fmt.Sprintf("raft: no entry of term %d has been committed yet", e.Term)
}

// MembershipPendingError reports an earlier membership change that is not committed yet.
type MembershipPendingError struct {
	Index uint64
}

func (e *MembershipPendingError) Error() string {
	return fmt.Sprintf("raft: the membership change at index %d is not committed yet", e.Index)
}

// InvalidChangeReason is the rule that a membership change breaks.
type InvalidChangeReason string

// Reasons of InvalidMembershipChangeError.
const (
	ReasonNoID        InvalidChangeReason = "the member has no id"
	ReasonIDTaken     InvalidChangeReason = "the id is a member already"
	ReasonNameTaken   InvalidChangeReason = "the name belongs to another id"
	ReasonNotMember   InvalidChangeReason = "the id is not a member"
	ReasonNotLearner  InvalidChangeReason = "the member is not a learner"
	ReasonNotVoter    InvalidChangeReason = "the member is not a voter"
	ReasonLastVoter   InvalidChangeReason = "the last voter cannot be removed"
	ReasonUnknownType InvalidChangeReason = "the type of change is unknown"
	ReasonUndecodable InvalidChangeReason = "the change cannot be decoded"
)

// InvalidMembershipChangeError reports a change that does not fit the membership.
type InvalidMembershipChangeError struct {
	ID     uint64
	Reason InvalidChangeReason
}

func (e *InvalidMembershipChangeError) Error() string {
	return fmt.Sprintf("raft: membership change of %x: %s", e.ID, e.Reason)
}

// NotCaughtUpError reports a learner that lacks committed entries and cannot become a voter yet.
type NotCaughtUpError struct {
	ID, Match, Needed uint64
}

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("raft: learner %x has synced up to %d, needs %d", e.ID, e.Match, e.Needed)
}

// InvalidMessageError reports a message that no correct replica of this group sends to this replica.
type InvalidMessageError struct {
	From   uint64
	Detail string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("raft: invalid message from %x: %s", e.From, e.Detail)
}

// InvariantError reports state that contradicts the safety of the log. The replica must stop.
type InvariantError struct {
	Index  uint64
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("raft: invariant violated at index %d: %s", e.Index, e.Detail)
}

// CompactedError is returned by a Storage for an index that a snapshot has replaced.
type CompactedError struct {
	Index, First uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("raft: index %d is compacted, the first one is %d", e.Index, e.First)
}

// UnavailableError is returned by a Storage for an index after its last entry.
type UnavailableError struct {
	Index, Last uint64
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("raft: index %d is not stored, the last one is %d", e.Index, e.Last)
}
