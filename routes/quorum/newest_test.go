package quorum

import (
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
)

func membersOf(learner uint64, ids ...uint64) []*raftpb.Member {
	var list []*raftpb.Member
	for _, id := range ids {
		list = append(list, &raftpb.Member{Id: id, Learner: id == learner})
	}
	return list
}

// Guards against a table that counts as the newest although a majority of the voters may hold a newer one, and against a
// gateway that counts as cut off although a majority answers.
func TestNewestAcknowledgedRoutes(t *testing.T) {
	five := membersOf(0, 1, 2, 3, 4, 5)
	answer := func(id, version uint64, members []*raftpb.Member) *controlpb.NewestRoutesAnswer {
		return &controlpb.NewestRoutesAnswer{ReplicaId: id, Version: version, Members: members}
	}
	for name, test := range map[string]struct {
		answers []*controlpb.NewestRoutesAnswer
		version uint64
		reached bool
	}{
		"no answer":            {nil, UnknownVersion, false},
		"a minority":           {[]*controlpb.NewestRoutesAnswer{answer(1, 3, five), answer(2, 3, five)}, UnknownVersion, false},
		"a majority":           {[]*controlpb.NewestRoutesAnswer{answer(1, 3, five), answer(2, 3, five), answer(3, 2, five)}, 3, true},
		"a newer one at one":   {[]*controlpb.NewestRoutesAnswer{answer(1, 3, five), answer(2, 9, five), answer(3, 2, five)}, 9, true},
		"all, a newer at two":  {[]*controlpb.NewestRoutesAnswer{answer(1, 3, five), answer(2, 9, five), answer(3, 3, five), answer(4, 9, five), answer(5, 3, five)}, 3, true},
		"learners do not vote": {[]*controlpb.NewestRoutesAnswer{answer(1, 3, membersOf(3, 1, 2, 3)), answer(3, 1, membersOf(3, 1, 2, 3))}, UnknownVersion, false},
		"two memberships":      {[]*controlpb.NewestRoutesAnswer{answer(1, 3, five), answer(2, 3, five), answer(3, 3, membersOf(0, 1, 2, 3, 4, 6))}, UnknownVersion, true},
		"a removed voter":      {[]*controlpb.NewestRoutesAnswer{answer(7, 1, five), answer(1, 4, five), answer(2, 4, five)}, UnknownVersion, false},
	} {
		if version, reached := NewestAcknowledged(test.answers); version != test.version || reached != test.reached {
			t.Errorf("%s: version %d, reached %t; want %d, %t", name, version, reached, test.version, test.reached)
		}
	}
}
