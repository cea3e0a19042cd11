package control

import (
	"context"
	"math"
	"slices"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/raft"
)

// routeLog knows the version of the newest route table in the log of the configuration group, committed or not. A table that
// was acknowledged is in the logs of a majority of the voters, so whoever asks a majority learns of it, also while this replica
// is too busy to apply the table or knows no leader. The loop calls all methods but newest.
type routeLog struct {
	replicaID, clusterID uint64
	// appliedVersion returns the version of the table in the state machine.
	appliedVersion func() uint64
	// unapplied holds the entries with a route table that are in the log and not applied, by ascending index.
	unapplied []loggedRoutes
	// members is the newest membership in the log; nil before the first Ready.
	members []*raftpb.Member
	// published is nil while the newest table is unknown.
	published atomic.Pointer[controlpb.NewestRoutesAnswer]
}

// loggedRoutes is an entry that puts a route table.
type loggedRoutes struct {
	index, version uint64
}

// followRoutes lets r.routes follow the log of the configuration group from what it contains at the start of the process.
func (r *replica) followRoutes(g *group) error {
	r.routes.replicaID, r.routes.clusterID = r.loop.self.Id, r.loop.clusterID
	r.routes.appliedVersion = func() uint64 { return r.configuration.state.RouteTable().GetVersion() }
	first, err := g.log.FirstIndex()
	if err != nil {
		return err
	}
	last, err := g.log.LastIndex()
	if err != nil {
		return err
	}
	if last >= first {
		entries, err := g.log.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			return err
		}
		r.routes.append(entries)
	}
	g.routes = &r.routes
	return nil
}

// append adds entries, which replace those of the log from the index of the first one on.
func (l *routeLog) append(entries []*raftpb.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	l.unapplied = slices.DeleteFunc(l.unapplied, func(e loggedRoutes) bool { return e.index >= first })
	for _, e := range entries {
		if e.Type != raftpb.EntryType_ENTRY_DATA || len(e.Data) < proposalHeaderBytes {
			continue
		}
		if version := controlstate.RouteVersionOf(e.Data[proposalHeaderBytes:]); version > 0 {
			l.unapplied = append(l.unapplied, loggedRoutes{e.Index, version})
		}
	}
}

// recordSaved records what a Ready has added to the synced log. After a snapshot nothing is published until recordApplied,
// because the table in the snapshot is not known before.
func (l *routeLog) recordSaved(rd raft.Ready) {
	if rd.Membership != nil {
		l.members = rd.Membership.GetMembers()
	}
	if rd.Snapshot != nil {
		l.unapplied = nil
		l.published.Store(nil)
	}
	l.append(rd.Entries)
	if rd.Snapshot == nil {
		l.publish()
	}
}

// recordApplied records that the log has been applied up to an index.
func (l *routeLog) recordApplied(index uint64) {
	l.unapplied = slices.DeleteFunc(l.unapplied, func(e loggedRoutes) bool { return e.index <= index })
	l.publish()
}

func (l *routeLog) publish() {
	if l.members == nil {
		return
	}
	newest := l.appliedVersion()
	for _, e := range l.unapplied {
		newest = max(newest, e.version)
	}
	if p := l.published.Load(); p != nil && p.Version == newest && slices.Equal(p.Members, l.members) {
		return
	}
	l.published.Store(&controlpb.NewestRoutesAnswer{ClusterId: l.clusterID, ReplicaId: l.replicaID, Version: newest, Members: l.members})
}

// newest returns what is known of the newest route table; nil if nothing is. The result must not be modified. It may be called
// from any goroutine.
func (l *routeLog) newest() *controlpb.NewestRoutesAnswer { return l.published.Load() }

// NewestRoutes returns the version of the newest route table in the log. It does not wait for the loop, which may be busy with
// that table.
func (s *configurationServer) NewestRoutes(context.Context, *controlpb.NewestRoutesRequest) (*controlpb.NewestRoutesAnswer, error) {
	answer := s.r.routes.newest()
	if answer == nil {
		return nil, status.Error(codes.Unavailable, "the log is not open, or a snapshot is being restored")
	}
	return answer, nil
}
