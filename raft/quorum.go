package raft

import (
	"math"
	"slices"
)

// MarkDataLost records that the storage of a member is gone: the member will never vote or acknowledge an entry again. The
// caller must know this for certain, for example because the process at the member's address has another identity. Silence
// of a member is no proof. The record is lost when the node is restarted.
func (n *Node) MarkDataLost(id uint64) {
	if id == n.config.ID || n.lost[id] {
		return
	}
	if n.lost == nil {
		n.lost = map[uint64]bool{}
	}
	n.lost[id] = true
}

// voterSet is a set of voters of which a quorum is needed. committed reports whether it is known to be committed.
type voterSet struct {
	ids       []uint64
	committed bool
}

// quorumSets returns the voter sets of which a quorum is needed: the current voters and, while the promotion that made their
// number odd is not known to be committed, also the previous voters. A promotion is then committed with a majority of the
// previous voters, so that the half of them that isHalfLost allows to go on cannot miss it.
func (n *Node) quorumSets() []voterSet {
	current := voterSet{ids: voters(n.membership())}
	since := n.memberships.latest().index
	for _, m := range slices.Backward(n.memberships) {
		if since <= n.log.committed {
			break
		}
		previous := voters(m.membership)
		if slices.Equal(previous, current.ids) {
			since = m.index
			continue
		}
		if len(previous) < len(current.ids) && len(previous)%2 == 0 {
			return []voterSet{current, {ids: previous, committed: true}}
		}
		return []voterSet{current}
	}
	current.committed = true
	return []voterSet{current}
}

// isQuorum reports whether the voters that are contained form a quorum.
func (n *Node) isQuorum(contains func(id uint64) bool) bool {
	for _, set := range n.quorumSets() {
		if !n.isQuorumOf(set, contains) {
			return false
		}
	}
	return true
}

// isQuorumOf reports whether the voters that are contained are a majority of the set or, after the loss of half of it, all
// others.
func (n *Node) isQuorumOf(set voterSet, contains func(id uint64) bool) bool {
	contained := 0
	for _, id := range set.ids {
		if contains(id) {
			contained++
		}
	}
	if contained > len(set.ids)/2 {
		return true
	}
	isMissing := func(id uint64) bool { return !n.lost[id] && !contains(id) }
	return n.isHalfLost(set) && !slices.ContainsFunc(set.ids, isMissing)
}

// quorumValue returns the highest value that a quorum of the voters has reached; 0 if there are no voters.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, set := range n.quorumSets() {
		lowest = min(lowest, n.quorumValueOf(set, value))
	}
	return lowest
}

func (n *Node) quorumValueOf(set voterSet, value func(*progress) uint64) uint64 {
	if len(set.ids) == 0 {
		return 0
	}
	values := make([]uint64, len(set.ids))
	lowestKept := uint64(math.MaxUint64)
	for i, id := range set.ids {
		values[i] = value(n.progress[id])
		if !n.lost[id] {
			lowestKept = min(lowestKept, values[i])
		}
	}
	slices.Sort(values)
	majority := values[(len(values)-1)/2]
	if n.isHalfLost(set) {
		return max(majority, lowestKept)
	}
	return majority
}

// isHalfLost reports whether exactly half of the voters are known to have lost their storage. No majority can ever form
// again then, and all voters of the other half form a quorum. It has a voter in common with each majority, since a majority
// has more voters than the lost half; and it is the same on every node that knows of the loss.
//
// The voters must be committed. Before that, a majority of the previous voters, all of them lost now, may have committed an
// entry that no other voter has.
func (n *Node) isHalfLost(set voterSet) bool {
	if len(n.lost) == 0 || !set.committed {
		return false
	}
	lost := 0
	for _, id := range set.ids {
		if n.lost[id] {
			lost++
		}
	}
	return lost > 0 && 2*lost == len(set.ids)
}
