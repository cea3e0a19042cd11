package membership

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

// shorten leaves out records until those of the answer take at most limit bytes, but keeps those of one owner at least.
// Owners are answered whole. For the others the digest carries the incarnation only, so the receiver neither takes their
// tables for complete nor their heartbeats for evidence, and asks again. Each answer starts at another owner, because a
// record beyond the known version of its owner is in every answer and would hold up the others.
func (r *Registry) shorten(a *gossippb.ExchangeAnswer, limit int) {
	wanted, total := map[GatewayID][]*gossippb.Server{}, 0
	for _, s := range a.Servers {
		total += proto.Size(s)
		wanted[s.Owner] = append(wanted[s.Owner], s)
		for _, former := range r.records[s.Address].formerOwners {
			wanted[former] = append(wanted[former], s)
		}
	}
	if total <= limit {
		return
	}
	taken, size, incomplete := map[*gossippb.Server]bool{}, 0, map[GatewayID]bool{}
	owners := slices.Sorted(maps.Keys(wanted))
	r.shortened++
	first := r.shortened % len(owners)
	for _, owner := range slices.Concat(owners[first:], owners[:first]) {
		more := 0
		for _, s := range wanted[owner] {
			if !taken[s] {
				more += proto.Size(s)
			}
		}
		if size > 0 && size+more > limit {
			incomplete[owner] = true
			continue
		}
		size += more
		for _, s := range wanted[owner] {
			taken[s] = true
		}
	}
	a.Servers = slices.SortedFunc(maps.Keys(taken), func(x, y *gossippb.Server) int { return cmp.Compare(x.Address, y.Address) })
	for _, d := range a.Digest {
		if incomplete[d.Owner] {
			d.Version, d.AgeMs = 0, unknownAge
		}
	}
}
