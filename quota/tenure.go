package quota

import (
	"slices"
	"time"
)

// TenureLength is how long after the start of a confirmed read an owner may give tokens. It exceeds the time of an election,
// so that the loss of a leader stops no other owner.
const TenureLength = 2500 * time.Millisecond

// Tenure decides whether a replica may give tokens from a slot. All times are on its monotonic clock. It is not safe for
// concurrent use.
//
// The replica regularly reads the assignment with the confirmation of a quorum. A read that began at a time t shows every
// assignment committed before t. A replica that follows the newest confirmed read for TenureLength from its start therefore
// gives no tokens later than TenureLength after another owner was committed, and the next owner waits that long after it has
// applied the assignment, less the time that the leader has waited before.
//
// A replica gives tokens only after it has recorded in the log that it begins. An entry of an earlier process with its
// identity, which may be late, then has no effect.
type Tenure struct {
	self   uint64
	owners Owners
	// confirmedAt is the start of the newest confirmed read; 0 before the first.
	confirmedAt time.Duration
	// assignedAt is when this process applied the assignment of each slot to this replica, and began when it began to give
	// tokens from the slot; 0 if it has not.
	assignedAt, began [Slots]time.Duration
	stopped           bool
}

// NewTenure returns the tenure of a replica that owns no slot yet.
func NewTenure(self uint64) *Tenure { return &Tenure{self: self} }

// Apply takes over the assignment that the replica has applied.
func (t *Tenure) Apply(now time.Duration, owners Owners) {
	for i, s := range owners {
		if before := t.owners[i]; s.Owner != before.Owner || s.Index != before.Index {
			t.assignedAt[i], t.began[i] = now, 0
		}
	}
	t.owners = owners
}

// Confirm records that a read that began at a time has been confirmed, and that all assignments before it are applied.
func (t *Tenure) Confirm(began time.Duration) { t.confirmedAt = max(t.confirmedAt, began) }

// Stop ends the tenure for good.
func (t *Tenure) Stop() { t.stopped = true }

// OwnsAny reports whether the replica owns a slot.
func (t *Tenure) OwnsAny() bool {
	return !t.stopped && slices.ContainsFunc(t.owners[:], func(s Slot) bool { return s.Owner == t.self })
}

// IsDueToBegin reports whether the replica owns slots from which it gives no tokens yet, and the grants of all their earlier
// owners have ended.
func (t *Tenure) IsDueToBegin(now time.Duration) bool {
	due := false
	for i, s := range t.owners {
		if s.Owner != t.self || t.began[i] != 0 {
			continue
		}
		if !s.Active && now-t.assignedAt[i] <= TenureLength-s.Waited {
			return false
		}
		due = true
	}
	return due && !t.stopped
}

// Begin records that the log says that this process gives tokens from all slots of the replica.
func (t *Tenure) Begin(now time.Duration) {
	for i, s := range t.owners {
		if s.Owner == t.self && s.Active && t.began[i] == 0 {
			t.began[i] = now
		}
	}
}

// Since returns when the replica began to give tokens from a slot; ok is false if it may not give any now.
func (t *Tenure) Since(now time.Duration, slot int) (began time.Duration, ok bool) {
	isConfirmed := t.confirmedAt != 0 && now-t.confirmedAt <= TenureLength
	if t.stopped || t.owners[slot].Owner != t.self || t.began[slot] == 0 || !isConfirmed {
		return 0, false
	}
	return t.began[slot], true
}
