package membership

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

// limitAnswer leaves out records until the rest takes at most limit bytes. It keeps or leaves out all records of an owner
// together, and keeps the records of at least one owner. For an owner that is left out, the digest carries only the
// incarnation, so the receiver does not treat the owner's table as complete or its heartbeat as evidence, and asks again.
// The owner that comes first rotates with each answer, because a record beyond the known version of its owner is part of
// every answer and would starve the other owners.
func (r *Registry) limitAnswer(a *gossippb.ExchangeAnswer, limit int) {
	byOwner, total := map[GatewayID][]*gossippb.Server{}, 0
	for _, s := range a.Servers {
		total += proto.Size(s)
		byOwner[s.Owner] = append(byOwner[s.Owner], s)
		for _, former := range r.records[s.Address].formerOwners {
			byOwner[former] = append(byOwner[former], s)
		}
	}
	if total <= limit {
		return
	}
	selected, size, incomplete := map[*gossippb.Server]bool{}, 0, map[GatewayID]bool{}
	owners := slices.Sorted(maps.Keys(byOwner))
	r.limitedAnswers++
	first := r.limitedAnswers % len(owners)
	for _, owner := range slices.Concat(owners[first:], owners[:first]) {
		added := 0
		for _, s := range byOwner[owner] {
			if !selected[s] {
				added += proto.Size(s)
			}
		}
		if size > 0 && size+added > limit {
			incomplete[owner] = true
			continue
		}
		size += added
		for _, s := range byOwner[owner] {
			selected[s] = true
		}
	}
	a.Servers = slices.SortedFunc(maps.Keys(selected), func(x, y *gossippb.Server) int { return cmp.Compare(x.Address, y.Address) })
	for _, d := range a.Digest {
		if incomplete[d.Owner] {
			d.Version, d.AgeMs = 0, unknownAgeMs
		}
	}
}
