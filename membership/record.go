package membership

import (
	"cmp"
	"time"

	"heatherwall.example/api/gossippb"
)

// record is what the registry holds of one server.
type record struct {
	server *gossippb.Server
	// vouchIncarnation is the incarnation of the owner in whose table the record was received.
	vouchIncarnation uint64
	// formerOwners had the server before; their tables no longer list it.
	formerOwners []string
	evidence     time.Duration
	hasEvidence  bool
	// changed is the time of the last change of the record.
	changed time.Duration
	// listed tells that the server was reported as present.
	listed bool
	held   *holding
}

// maxFormerOwners bounds the list of former owners of a record.
const maxFormerOwners = 8

// newer reports whether a replaces b. Left is final for an incarnation; otherwise the order is incarnation, sequence,
// owner, version of the owner's table. Only one owner changes a record of one sequence.
func newer(a, b *gossippb.Server) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	aLeft := a.State == gossippb.ServerState_SERVER_LEFT
	bLeft := b.State == gossippb.ServerState_SERVER_LEFT
	if aLeft != bLeft {
		return aLeft
	}
	order := cmp.Or(
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Owner, b.Owner),
		cmp.Compare(a.OwnerVersion, b.OwnerVersion),
	)
	return order > 0
}

func (r *record) left() bool { return r.server.State == gossippb.ServerState_SERVER_LEFT }

// addFormer remembers an owner whose table no longer lists the server.
func (r *record) addFormer(owner string) {
	for _, f := range r.formerOwners {
		if f == owner {
			return
		}
	}
	r.formerOwners = append(r.formerOwners, owner)
	if len(r.formerOwners) > maxFormerOwners {
		r.formerOwners = r.formerOwners[1:]
	}
}
