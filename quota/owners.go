package quota

import (
	"slices"
	"time"

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
	// Active is set once the owner has begun to give tokens. Before that, an earlier owner may still give some.
	Active bool
	// Waited is the part of TenureLength that had passed for the earlier owner when the assignment was proposed.
	Waited time.Duration
}

// Owners is the assignment of all slots. The zero value assigns none.
type Owners [Slots]Slot

// Reassign returns the owner of each slot after the slots of all replicas that are not in live have been given to candidates,
// each to the one with the fewest. It reports whether anything changed. Other slots keep their owner, because a change leaves
// their workspaces without tokens for a while.
func (o Owners) Reassign(live, candidates []uint64) (owners [Slots]uint64, changed bool) {
	candidates = slices.Sorted(slices.Values(candidates))
	count := map[uint64]int{}
	for i, s := range o {
		owners[i] = s.Owner
		count[s.Owner]++
	}
	if len(candidates) == 0 {
		return owners, false
	}
	for i, s := range o {
		if s.Owner != 0 && slices.Contains(live, s.Owner) {
			continue
		}
		fewest := slices.MinFunc(candidates, func(a, b uint64) int { return count[a] - count[b] })
		count[fewest]++
		owners[i], changed = fewest, true
	}
	return owners, changed
}

// Assignment changes the owners of slots.
type Assignment struct {
	Owners [Slots]uint64
	// Released is a replica that has given up its slots and gives no more tokens; 0 for none.
	Released uint64
	// Waited is how long the leader that proposed the assignment has led and heard nothing of the replicas that lose slots: no
	// read of theirs that began since then was confirmed.
	Waited time.Duration
}

// Assign returns the owners after the log entry at an index has assigned slots. A slot that changes its owner is not active,
// unless it had none, or its owner was released.
func (o Owners) Assign(index uint64, a Assignment) Owners {
	for i, s := range o {
		if s.Owner == a.Owners[i] {
			continue
		}
		o[i] = Slot{Owner: a.Owners[i], Index: index, Active: s.Owner == 0 || s.Owner == a.Released && s.Active}
		if s.Active { // otherwise an owner before the last one may still give tokens
			o[i].Waited = a.Waited
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
