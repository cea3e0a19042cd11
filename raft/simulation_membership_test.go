package raft

import (
	"maps"
	"slices"

	"heatherwall.example/api/raftpb"
)

// minVoters returns the number of voters that a demotion leaves: after the loss of maxLost disks, the rest is a majority.
func (s *simulation) minVoters() int {
	if s.losesAny {
		return 2
	}
	return 2*s.maxLost + 1
}

// proposeDemotion removes a random voter other than h, which returns as a learner with its old log and becomes a voter
// again.
func (s *simulation) proposeDemotion(h *host) {
	all := voters(h.node.membership())
	if len(all) <= s.minVoters() {
		return
	}
	id := all[s.random.Intn(len(all))]
	if _, lost := s.replacements[id]; lost || id == h.id {
		return
	}
	err := h.node.ProposeMembership(&raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: memberOf(id)})
	if err == nil {
		s.demotions[id] = true
	}
	ignoreExpectedError(s.t, err)
}

// proposePromotion proposes the next membership change that makes demoted replicas voters again.
func (s *simulation) proposePromotion(h *host) {
	for _, id := range slices.Sorted(maps.Keys(s.demotions)) {
		change := &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, Member: memberOf(id)}
		member := findMember(h.node.membership(), id)
		switch {
		case s.hosts[id] == nil: // it has lost its disk since and is being replaced
			delete(s.demotions, id)
			return
		case member == nil:
			change.Type = raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER
		case !member.Learner:
			if h.node.role == Leader && h.node.hasCommittedInTerm() && h.node.memberships.latest().index <= h.node.log.committed {
				delete(s.demotions, id)
			}
			return
		}
		ignoreExpectedError(s.t, h.node.ProposeMembership(change))
	}
}

// loseDisk removes a replica together with its storage and starts a new replica in its place, unless too many earlier
// replacements are still in progress.
func (s *simulation) loseDisk(h *host) {
	if !s.canLose(h.id) {
		return
	}
	s.nextID++
	delete(s.hosts, h.id)
	s.replacements[h.id] = s.nextID
	s.addReplica(s.nextID, nil)
}

// canLose reports whether a replica may lose its disk. Where two may be lost, half of an even number of voters may be gone;
// the others must then have saved that these voters are committed, otherwise they may rightly wait for those that are lost.
func (s *simulation) canLose(id uint64) bool {
	if s.losesAny {
		return !s.isReplacement(id)
	}
	if len(s.replacements) >= s.maxLost || s.isReplacement(id) {
		return false
	}
	if s.maxLost == 1 {
		return true
	}
	var index uint64
	for _, other := range s.ids() {
		if s.isReplacement(other) {
			continue
		}
		n := s.hosts[other].node
		if n == nil {
			return false
		}
		latest := n.memberships.latest().index
		if index == 0 {
			index = latest
		}
		if latest != index || n.saved.commit < latest {
			return false
		}
	}
	return true
}

// isReplacement reports whether a replica takes the place of one that has lost its disk and has not yet completed it.
func (s *simulation) isReplacement(id uint64) bool {
	for _, replacement := range s.replacements {
		if replacement == id {
			return true
		}
	}
	return false
}

// reportLosses tells a replica which members have lost their disks.
func (s *simulation) reportLosses(h *host) {
	if h.node == nil {
		return
	}
	for lost := range s.replacements {
		h.node.MarkDataLost(lost)
	}
}

// proposeRepair proposes the next membership change that replaces a lost replica: remove the lost one, add the new one as a
// learner, promote it. Without a lost replica it promotes demoted ones.
func (s *simulation) proposeRepair(h *host) {
	if len(s.replacements) == 0 {
		s.proposePromotion(h)
	}
	for _, lost := range slices.Sorted(maps.Keys(s.replacements)) {
		s.proposeReplacement(h, lost, s.replacements[lost])
	}
}

func (s *simulation) proposeReplacement(h *host, lost, replacement uint64) {
	change := &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: memberOf(lost)}
	member := findMember(h.node.membership(), replacement)
	switch {
	case findMember(h.node.membership(), lost) != nil:
	case member == nil:
		change = &raftpb.MembershipChange{Member: memberOf(replacement)}
	case member.Learner:
		change = &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, Member: member}
	case h.node.role == Leader && h.node.hasCommittedInTerm() && h.node.memberships.latest().index <= h.node.log.committed:
		delete(s.replacements, lost) // the replacement is complete; another disk may be lost now
		return
	}
	ignoreExpectedError(s.t, h.node.ProposeMembership(change))
}
