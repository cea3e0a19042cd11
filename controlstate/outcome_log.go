package controlstate

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

// outcomeLog keeps the first outcome of each of the newest change IDs, so that a resent change gets the same outcome.
type outcomeLog struct {
	// order holds the records from oldest to newest.
	order []*statepb.RecordedChange
	byID  map[string]*statepb.RecordedChange
}

func newOutcomeLog() outcomeLog {
	return outcomeLog{byID: map[string]*statepb.RecordedChange{}}
}

// record adds the outcome of a change. The texts of conflicting sections are not stored, because they are large.
func (l *outcomeLog) record(id string, encoded []byte, outcome *controlpb.ChangeOutcome) {
	sum := sha256.Sum256(encoded)
	kept := proto.Clone(outcome).(*controlpb.ChangeOutcome)
	for _, s := range kept.GetConflicts() {
		s.Text = ""
	}
	l.add(&statepb.RecordedChange{Id: id, Sha256: sum[:], Outcome: kept})
}

func (l *outcomeLog) add(r *statepb.RecordedChange) {
	l.order = append(l.order, r)
	l.byID[r.GetId()] = r
	if len(l.order) > MaxRecordedChanges {
		delete(l.byID, l.order[0].GetId())
		l.order = l.order[1:]
	}
}
