// Package quorum evaluates what control replicas say about the route tables in their logs. It is pure: it uses no socket, file or
// clock.
package quorum

import (
	"math"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
)

// UnknownVersion is returned instead of the version of a route table that cannot be determined. It is newer than any.
const UnknownVersion = math.MaxUint64

// NewestAcknowledged evaluates what control replicas said about the newest route table in their logs. It returns the highest
// version that may have been acknowledged before they were asked, and whether a majority of the voters answered at all.
//
// An acknowledged table is in the logs of a majority, which shares a voter with every other majority. So no acknowledged table
// is newer than the newest of those that any majority names, and the one with the lowest is chosen: a table that only the
// others have may never be committed. Only voters with the same membership in their logs count together, because the majority
// of a membership need not share a voter with one of another.
func NewestAcknowledged(answers []*controlpb.NewestRoutesAnswer) (version uint64, reached bool) {
	version = UnknownVersion
	for _, a := range answers {
		voters := voterIDs(a.GetMembers())
		majority := len(voters)/2 + 1
		var agreeing []uint64
		answered := 0
		for _, other := range answers {
			if !slices.Contains(voters, other.GetReplicaId()) {
				continue
			}
			answered++
			if slices.Equal(voterIDs(other.GetMembers()), voters) {
				agreeing = append(agreeing, other.GetVersion())
			}
		}
		reached = reached || answered >= majority
		if len(agreeing) >= majority {
			slices.Sort(agreeing)
			version = min(version, agreeing[majority-1])
		}
	}
	return version, reached
}

// voterIDs returns the IDs of the voters in ascending order.
func voterIDs(members []*raftpb.Member) []uint64 {
	var ids []uint64
	for _, m := range members {
		if !m.GetLearner() {
			ids = append(ids, m.GetId())
		}
	}
	slices.Sort(ids)
	return ids
}
