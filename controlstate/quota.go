package controlstate

import (
	"fmt"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/quota"
)

// QuotaSlots is the assignment of the slots of workspaces to the replicas that give their tokens.
type QuotaSlots struct {
	Owners quota.Owners
	// Changed is the log index of the last change, and Assigned that of the last change of an owner; 0 for none.
	Changed, Assigned uint64
}

// SlotsChangedError reports a command for the slots of workspaces that was decided before their last change. The state does
// not change.
type SlotsChangedError struct {
	Known, Changed uint64
}

func (e *SlotsChangedError) Error() string {
	return fmt.Sprintf("the slots of workspaces have changed at log index %d; the command knows index %d", e.Changed, e.Known)
}

// EncodeAssignQuotaSlotsEntry returns the encoded log entry that changes the owners of slots; changed is the index of the last
// change that the proposer knows.
func EncodeAssignQuotaSlotsEntry(changed uint64, a quota.Assignment) []byte {
	assign := &statepb.AssignQuotaSlots{Changed: changed, Owners: a.Owners[:], Released: a.Released, WaitedMs: uint32(a.Waited.Milliseconds())}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_AssignQuotaSlots{AssignQuotaSlots: assign}})
}

// EncodeBeginQuotaSlotsEntry returns the encoded log entry that says that a replica gives tokens from its slots; assigned is
// the index of the last change of an owner that the replica knows.
func EncodeBeginQuotaSlotsEntry(assigned, replica uint64) []byte {
	begin := &statepb.BeginQuotaSlots{Assigned: assigned, Replica: replica}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_BeginQuotaSlots{BeginQuotaSlots: begin}})
}

// QuotaSlots returns the assignment of the slots of workspaces.
func (c *Configuration) QuotaSlots() QuotaSlots { return c.catalogue.quotaSlots }

// assignQuotaSlots changes the owners of slots. The error is nil, *SlotsChangedError or *EntryError.
func (c *catalogue) assignQuotaSlots(index uint64, e *statepb.AssignQuotaSlots) error {
	s := &c.quotaSlots
	if e.GetChanged() != s.Changed {
		return &SlotsChangedError{Known: e.GetChanged(), Changed: s.Changed}
	}
	if len(e.GetOwners()) != quota.Slots {
		return &EntryError{Index: index, Cause: fmt.Errorf("%d owners, expected %d", len(e.GetOwners()), quota.Slots)}
	}
	s.Owners = s.Owners.Assign(index, quota.Assignment{
		Owners: [quota.Slots]uint64(e.GetOwners()), Released: e.GetReleased(), Waited: milliseconds(e.GetWaitedMs()),
	})
	s.Changed, s.Assigned, c.changedIndex = index, index, index
	return nil
}

// beginQuotaSlots records that a replica gives tokens. The error is nil or *SlotsChangedError.
func (c *catalogue) beginQuotaSlots(index uint64, e *statepb.BeginQuotaSlots) error {
	s := &c.quotaSlots
	if e.GetAssigned() != s.Assigned {
		return &SlotsChangedError{Known: e.GetAssigned(), Changed: s.Assigned}
	}
	s.Owners, s.Changed = s.Owners.Activate(e.GetReplica()), index
	return nil
}

// addQuotaOwners adds the owners of all slots to a delta if one has changed since its base.
func (s QuotaSlots) addQuotaOwners(d *controlpb.CatalogueDelta) {
	if s.Assigned == 0 || s.Assigned <= d.GetBase() {
		return
	}
	for _, slot := range s.Owners {
		d.QuotaOwners = append(d.QuotaOwners, slot.Owner)
	}
}

// addTo adds the slots to a snapshot.
func (s QuotaSlots) addTo(m *statepb.Catalogue) {
	m.QuotaChanged, m.QuotaAssigned = s.Changed, s.Assigned
	if s.Changed == 0 {
		return
	}
	for _, slot := range s.Owners {
		m.QuotaSlots = append(m.QuotaSlots, &statepb.QuotaSlot{Owner: slot.Owner, Index: slot.Index, Active: slot.Active, WaitedMs: uint32(slot.Waited.Milliseconds())})
	}
}

// restoreQuotaSlots returns the slots of a snapshot.
func restoreQuotaSlots(m *statepb.Catalogue) QuotaSlots {
	s := QuotaSlots{Changed: m.GetQuotaChanged(), Assigned: m.GetQuotaAssigned()}
	for i, slot := range m.GetQuotaSlots() {
		if i < quota.Slots {
			s.Owners[i] = quota.Slot{Owner: slot.GetOwner(), Index: slot.GetIndex(), Active: slot.GetActive(), Waited: milliseconds(slot.GetWaitedMs())}
		}
	}
	return s
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
