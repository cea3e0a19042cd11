package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slots is the number of slots that workspaces are divided among.
const Slots = 64

// SlotOf returns the slot of a workspace.
func SlotOf(workspace string) int { return int(xxhash.Sum64String(workspace) % Slots) }

// Slot says which replica owns a slot.
type Slot struct {
	// Owner is the identity of the replica; 0 for none.
	Owner uint64
	// Index is the log index of the assignment to this owner.
	Index uint64
	// Active is set once the owner has begun to give tokens. Before that, the grants of an earlier owner may still be valid.
	Active bool
}

// Owners is the assignment of all slots. The zero value assigns none.
type Owners [Slots]Slot

// Reassign returns the owner of each slot after the slots of all replicas that are not in live have been given to those that
// are, each to the one with the fewest. It reports whether anything changed. Other slots keep their owner, because a change
// leaves their workspaces without tokens for a while.
func (o Owners) Reassign(live []uint64) (owners [Slots]uint64, changed bool) {
	live = slices.Sorted(slices.Values(live))
	count := map[uint64]int{}
	for i, s := range o {
		owners[i] = s.Owner
		count[s.Owner]++
	}
	if len(live) == 0 {
		return owners, false
	}
	for i, s := range o {
		if s.Owner != 0 && slices.Contains(live, s.Owner) {
			continue
		}
		fewest := slices.MinFunc(live, func(a, b uint64) int { return count[a] - count[b] })
		count[fewest]++
		owners[i], changed = fewest, true
	}
	return owners, changed
}

// Assign returns the assignment after the log entry at an index has changed the owners. A slot that changes its owner is not
// active, unless it had none, or its owner was released: a replica that has given up its slots and gives no more tokens.
func (o Owners) Assign(index uint64, owners [Slots]uint64, released uint64) Owners {
	for i, s := range o {
		if s.Owner != owners[i] {
			o[i] = Slot{Owner: owners[i], Index: index, Active: s.Owner == 0 || s.Owner == released && s.Active}
		}
	}
	return o
}

// Activate returns the assignment after a replica has begun to give tokens from all of its slots.
func (o Owners) Activate(replica uint64) Owners {
	for i := range o {
		o[i].Active = o[i].Active || o[i].Owner == replica
	}
	return o
}
