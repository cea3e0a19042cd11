package membership

import (
	"cmp"
	"time"

	"heatherwall.example/api/gossippb"
)

// record is the state that the registry keeps for one server.
type record struct {
	server *gossippb.Server
	// ownerIncarnation is the incarnation of the owner whose table contained the record.
	ownerIncarnation uint64
	// formerOwners owned the server before; their tables no longer contain it.
	formerOwners []string
	evidenceAt   time.Duration
	hasEvidence  bool
	// changedAt is the time of the last change of the record.
	changedAt time.Duration
	// listed is true after a ServerChanged event for the server and until its ServerGone event.
	listed    bool
	ownership *ownership
}

// maxFormerOwners limits the list of former owners of a record; the oldest is dropped first.
const maxFormerOwners = 8

// isReplacedBy reports whether s, received in the table of the given incarnation of its owner, is newer than the record.
// Within an incarnation of the server, SERVER_LEFT is final; otherwise records are ordered by incarnation, sequence, owner,
// incarnation of the owner and version of the owner's table. The sequence alone is not enough, because a server may repeat
// an announcement to an owner that has restarted.
func (r *record) isReplacedBy(s *gossippb.Server, ownerIncarnation uint64) bool {
	old := r.server
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	left := s.State == gossippb.ServerState_SERVER_LEFT
	if left != r.hasLeft() {
		return left
	}
	order := cmp.Or(
		cmp.Compare(s.Sequence, old.Sequence),
		cmp.Compare(s.Owner, old.Owner),
		cmp.Compare(ownerIncarnation, r.ownerIncarnation),
		cmp.Compare(s.OwnerVersion, old.OwnerVersion),
	)
	return order > 0
}

func (r *record) hasLeft() bool { return r.server.State == gossippb.ServerState_SERVER_LEFT }

// addFormerOwner records an owner whose table no longer contains the server.
func (r *record) addFormerOwner(owner string) {
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
