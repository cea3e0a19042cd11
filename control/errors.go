package control

import "fmt"

// StaleError reports that no quorum confirmed in time that this replica's state is current.
type StaleError struct {
	Group uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("group %d: no quorum confirmed that this replica is current", e.Group)
}

// OutcomeUnknownError reports a proposal that may or may not be committed, because leadership was lost or the proposal
// timed out.
type OutcomeUnknownError struct {
	Group uint64
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("group %d: leadership was lost before the outcome of the proposal was known", e.Group)
}

// NoGroupError reports a request for a group that this replica does not have; Region is set for a claim group.
type NoGroupError struct {
	Group  uint64
	Region string
}

func (e *NoGroupError) Error() string {
	if e.Region != "" {
		return fmt.Sprintf("this replica holds no claim group of region %q", e.Region)
	}
	return fmt.Sprintf("this replica does not hold group %d", e.Group)
}

// UnknownServerError reports a deregistration without an incarnation of a backend server that has not reported yet. Its
// report may still be on the way, so the server is expected to deregister again.
type UnknownServerError struct {
	ID string
}

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("backend server %q has not reported yet", e.ID)
}

// OutdatedJoinError reports a request to join whose sender does not confirm, when it is asked, that it has this identity.
type OutdatedJoinError struct {
	Name string
	ID   uint64
}

func (e *OutdatedJoinError) Error() string {
	return fmt.Sprintf("replica %q does not confirm that it has the identity %x", e.Name, e.ID)
}

// TooFewVotersError reports that nothing is acknowledged yet, because the group has too few voters to bear the loss of as
// many disks as the settings say.
type TooFewVotersError struct {
	Voters, Needed int
}

func (e *TooFewVotersError) Error() string {
	return fmt.Sprintf("the configuration group has %d voters, %d are needed to acknowledge anything", e.Voters, e.Needed)
}

// StoppedError reports a request to a replica that is stopping.
type StoppedError struct{}

func (e *StoppedError) Error() string {
	return "the replica is stopping"
}

// OverloadedError reports that the loop has too many tasks waiting.
type OverloadedError struct{}

func (e *OverloadedError) Error() string {
	return "the replica has too many requests waiting"
}

// BootstrapError reports why the configuration group may not be created.
type BootstrapError struct {
	Peer   string
	Reason string
}

func (e *BootstrapError) Error() string {
	return fmt.Sprintf("bootstrap refused: %s: %s", e.Peer, e.Reason)
}

// ShortEntryError reports a committed entry that is too short to carry its proposal number.
type ShortEntryError struct {
	Group uint64
	Index uint64
}

func (e *ShortEntryError) Error() string {
	return fmt.Sprintf("group %d: entry %d has no proposal number", e.Group, e.Index)
}

// IdentityError reports a certificate, or the configured name of this replica, that does not match the expected
// identity.
type IdentityError struct {
	Certificate string
	Expected    string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate of %q: expected that of %s", e.Certificate, e.Expected)
}

// ClusterMismatchError reports a message of another cluster.
type ClusterMismatchError struct {
	Got      uint64
	Expected uint64
}

func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("setup %x: expected setup %x", e.Got, e.Expected)
}

// ChangeTooLargeError reports a change that exceeds maxChangeBytes.
type ChangeTooLargeError struct {
	Bytes int
}

func (e *ChangeTooLargeError) Error() string {
	return fmt.Sprintf("change of %d bytes: expected at most %d", e.Bytes, maxChangeBytes)
}

// NotOpenError reports a call to a replica that has not opened its groups yet.
type NotOpenError struct{}

func (e *NotOpenError) Error() string { return "the replica has not opened its groups yet" }
