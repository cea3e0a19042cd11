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

// replacedBy reports whether s, received in the table of the given incarnation of its owner, is newer. Left is final for
// an incarnation; otherwise the order is incarnation, sequence, owner, incarnation of the owner, version of the owner's
// table. A server may repeat an announcement at an owner that has restarted, so the sequence alone does not order them.
func (r *record) replacedBy(s *gossippb.Server, vouchIncarnation uint64) bool {
	old := r.server
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	left := s.State == gossippb.ServerState_SERVER_LEFT
	if left != r.left() {
		return left
	}
	order := cmp.Or(
		cmp.Compare(s.Sequence, old.Sequence),
		cmp.Compare(s.Owner, old.Owner),
		cmp.Compare(vouchIncarnation, r.vouchIncarnation),
		cmp.Compare(s.OwnerVersion, old.OwnerVersion),
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
