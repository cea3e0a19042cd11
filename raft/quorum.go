package raft

import "slices"

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

// A quorum is a majority of the current voters or, after the loss of half of them, all others; see isHalfLost. While a change
// of an even number of voters is not known to be committed, a quorum must also meet each half of the previous voters that may
// go on without the other half: otherwise that half would not know of the change. Single changes of an odd number need no such
// rule, because no half of them may go on.

// quorumRule says what a quorum is at present.
type quorumRule struct {
	voters []uint64
	// previous holds the voters before a change that is not known to be committed, without the one that it removes, and
	// needed the number of them that a quorum must contain. needed is 0 if there is no such condition.
	previous []uint64
	needed   int
	// halfSuffices is set if all voters that have not lost their storage are a quorum.
	halfSuffices bool
}

func (n *Node) quorumRule() quorumRule {
	rule := quorumRule{voters: voters(n.membership())}
	previous, pending := n.votersBeforePendingChange()
	switch {
	case !pending:
		rule.halfSuffices = n.isHalfLost(rule.voters)
	case len(previous)%2 == 0:
		rule.needed = len(previous)/2 + 1 - n.countLost(previous)
		rule.previous = slices.DeleteFunc(previous, func(id uint64) bool { return n.lost[id] || !slices.Contains(rule.voters, id) })
	}
	return rule
}

// votersBeforePendingChange returns the voters before the last change of the voters, and false if that change is known to be
// committed.
func (n *Node) votersBeforePendingChange() ([]uint64, bool) {
	current := n.memberships.latest()
	since := current.index
	for _, m := range slices.Backward(n.memberships) {
		if since <= n.log.committed {
			return nil, false
		}
		if previous := voters(m.membership); !slices.Equal(previous, voters(current.membership)) {
			return previous, true
		}
		since = m.index
	}
	return nil, false
}

// isQuorum reports whether the voters that are contained form a quorum.
func (n *Node) isQuorum(contains func(id uint64) bool) bool {
	rule := n.quorumRule()
	if countContained(rule.previous, contains) < rule.needed {
		return false
	}
	if countContained(rule.voters, contains) > len(rule.voters)/2 {
		return true
	}
	isMissing := func(id uint64) bool { return !n.lost[id] && !contains(id) }
	return rule.halfSuffices && !slices.ContainsFunc(rule.voters, isMissing)
}

func countContained(ids []uint64, contains func(id uint64) bool) int {
	count := 0
	for _, id := range ids {
		if contains(id) {
			count++
		}
	}
	return count
}

// quorumValue returns the highest value that a quorum of the voters has reached; 0 if there are no voters.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	rule := n.quorumRule()
	reached := n.highestReachedBy(rule.voters, len(rule.voters)/2+1, value)
	if rule.halfSuffices {
		kept := slices.DeleteFunc(slices.Clone(rule.voters), func(id uint64) bool { return n.lost[id] })
		reached = max(reached, n.highestReachedBy(kept, len(kept), value))
	}
	if rule.needed > 0 {
		reached = min(reached, n.highestReachedBy(rule.previous, rule.needed, value))
	}
	return reached
}

// highestReachedBy returns the highest value that count of the voters have reached; 0 if there are fewer.
func (n *Node) highestReachedBy(ids []uint64, count int, value func(*progress) uint64) uint64 {
	if len(ids) < count {
		return 0
	}
	values := make([]uint64, len(ids))
	for i, id := range ids {
		values[i] = value(n.progress[id])
	}
	slices.Sort(values)
	return values[len(values)-count]
}

// isHalfLost reports whether exactly half of the voters, which must be committed, are known to have lost their storage. No
// majority can ever form again then, and all voters of the other half form a quorum. It has a voter in common with each
// majority, since a majority has more voters than the lost half; and it is the same on every node that knows of the loss.
//
// Voters that are not committed cannot go on: a majority of the previous voters, all of them lost now, may have committed an
// entry that no other voter has.
func (n *Node) isHalfLost(ids []uint64) bool {
	lost := n.countLost(ids)
	return lost > 0 && 2*lost == len(ids)
}

func (n *Node) countLost(ids []uint64) int {
	if len(n.lost) == 0 {
		return 0
	}
	return countContained(ids, func(id uint64) bool { return n.lost[id] })
}
