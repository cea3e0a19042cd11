package raft

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/raftpb"
)

func sortMembers(members []*raftpb.Member) {
	slices.SortFunc(members, func(a, b *raftpb.Member) int { return cmp.Compare(a.Id, b.Id) })
}

func findMember(m *raftpb.Membership, id uint64) *raftpb.Member {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func isVoter(m *raftpb.Membership, id uint64) bool {
	member := findMember(m, id)
	return member != nil && !member.Learner
}

func voters(m *raftpb.Membership) []uint64 {
	var ids []uint64
	for _, member := range m.GetMembers() {
		if !member.Learner {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

// ChangeMembership returns the membership that results from a change. It fails with *InvalidMembershipChangeError and does
// not modify its input.
func ChangeMembership(m *raftpb.Membership, c *raftpb.MembershipChange) (*raftpb.Membership, error) {
	id := c.GetMember().GetId()
	if id == 0 {
		return nil, &InvalidMembershipChangeError{Reason: ReasonNoID}
	}
	current := findMember(m, id)
	switch c.Type {
	case raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER:
		return addLearner(m, c.Member)
	case raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE:
		return promote(m, id, current)
	case raftpb.MembershipChangeType_MEMBERSHIP_REMOVE:
		return remove(m, id, current)
	}
	return nil, &InvalidMembershipChangeError{ID: id, Reason: ReasonUnknownType}
}

func addLearner(m *raftpb.Membership, added *raftpb.Member) (*raftpb.Membership, error) {
	for _, member := range m.GetMembers() {
		if member.Id == added.Id {
			return nil, &InvalidMembershipChangeError{ID: added.Id, Reason: ReasonIDTaken}
		}
		if member.Name != "" && member.Name == added.Name {
			return nil, &InvalidMembershipChangeError{ID: added.Id, Reason: ReasonNameTaken}
		}
	}
	learner := proto.CloneOf(added)
	learner.Learner = true
	members := append(slices.Clone(m.GetMembers()), learner)
	sortMembers(members)
	return &raftpb.Membership{Members: members}, nil
}

func promote(m *raftpb.Membership, id uint64, current *raftpb.Member) (*raftpb.Membership, error) {
	if current == nil {
		return nil, &InvalidMembershipChangeError{ID: id, Reason: ReasonNotMember}
	}
	if !current.Learner {
		return nil, &InvalidMembershipChangeError{ID: id, Reason: ReasonNotLearner}
	}
	voter := proto.CloneOf(current)
	voter.Learner = false
	members := slices.Clone(m.Members)
	members[slices.Index(members, current)] = voter
	return &raftpb.Membership{Members: members}, nil
}

func remove(m *raftpb.Membership, id uint64, current *raftpb.Member) (*raftpb.Membership, error) {
	if current == nil {
		return nil, &InvalidMembershipChangeError{ID: id, Reason: ReasonNotMember}
	}
	if !current.Learner && len(voters(m)) == 1 {
		return nil, &InvalidMembershipChangeError{ID: id, Reason: ReasonLastVoter}
	}
	i := slices.Index(m.Members, current)
	return &raftpb.Membership{Members: slices.Delete(slices.Clone(m.Members), i, i+1)}, nil
}

// membershipAt is a membership and the index of the log entry or snapshot that established it.
type membershipAt struct {
	index      uint64
	membership *raftpb.Membership
}

// membershipHistory holds the membership of the last snapshot, followed by the memberships that later log entries,
// committed or not, established. The last one is in effect. The history is never empty.
type membershipHistory []membershipAt

func (h membershipHistory) latest() membershipAt { return h[len(h)-1] }

// at returns the membership in effect after the entry at the index.
func (h membershipHistory) at(index uint64) *raftpb.Membership {
	for _, m := range slices.Backward(h) {
		if m.index <= index {
			return m.membership
		}
	}
	return h[0].membership
}

// truncate drops the changes made by entries from the index on.
func (h membershipHistory) truncate(from uint64) membershipHistory {
	for len(h) > 1 && h.latest().index >= from {
		h = h[:len(h)-1]
	}
	return h
}

// compact drops the memberships that were superseded at or before the index.
func (h membershipHistory) compact(index uint64) membershipHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return h
}

// add appends the memberships that result from the membership changes among the entries.
func (h membershipHistory) add(entries []*raftpb.Entry) (membershipHistory, error) {
	for _, e := range entries {
		if e.Type != raftpb.EntryType_ENTRY_MEMBERSHIP {
			continue
		}
		change := &raftpb.MembershipChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			return h, &InvalidMembershipChangeError{Reason: ReasonUndecodable}
		}
		next, err := ChangeMembership(h.latest().membership, change)
		if err != nil {
			return h, err
		}
		h = append(h, membershipAt{index: e.Index, membership: next})
	}
	return h, nil
}
