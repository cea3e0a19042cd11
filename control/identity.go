package control

import (
	"context"
	"errors"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/raft/wal"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

const (
	// joinInterval is the time between two requests to be added to a group.
	joinInterval = 500 * time.Millisecond
	probeTimeout = time.Second
	// bootstrapTimeout bounds how long the bootstrapping replica waits for its peers to start.
	bootstrapTimeout = 30 * time.Second
)

func hasName(name string) func(settings.Replica) bool {
	return func(p settings.Replica) bool { return p.Name == name }
}

// groupFolder is where a group keeps its log.
func (r *replica) groupFolder(id uint64) string {
	return filepath.Join(r.settings.DataFolder, "groups", strconv.FormatUint(id, 10))
}

// identity loads the identity of the data folder. Without one it bootstraps, or waits until a peer tells the setup's
// number; meanwhile it answers probes of peers that bootstrap.
func (r *replica) loadOrCreateIdentity(ctx context.Context, listener *net.TCPListener) (wal.Identity, error) {
	bootstrap := r.options.Bootstrap || r.isBootstrapReplica()
	saved, err := wal.LoadIdentity(r.settings.DataFolder)
	var missing *wal.NoIdentityError
	switch {
	case errors.As(err, &missing) && bootstrap:
		return r.bootstrap(ctx, wal.Identity{})
	case errors.As(err, &missing):
		stop := r.serveProbes(listener)
		defer stop()
		return r.discoverCluster(ctx)
	case err != nil:
		return wal.Identity{}, err
	case saved.Name != r.settings.Name:
		return wal.Identity{}, &IdentityError{Certificate: r.settings.Name, Expected: "the owner of the data folder, " + saved.Name}
	}
	if !bootstrap {
		return saved, nil
	}
	// A bootstrap that was interrupted after the identity was made is completed.
	empty, err := isLogEmpty(r.groupFolder(configurationGroup))
	if err != nil || !empty {
		return saved, err
	}
	return r.bootstrap(ctx, saved)
}

func isLogEmpty(folder string) (bool, error) {
	log, err := wal.Open(folder)
	if err != nil {
		return false, err
	}
	return log.IsEmpty(), log.Close()
}

// borrowedListener lets a server stop without closing the listener that the replica goes on to use: Close only ends
// the wait in Accept.
type nonClosingListener struct {
	*net.TCPListener
}

// Close makes Accept return at once.
func (l nonClosingListener) Close() error {
	return l.SetDeadline(time.Now())
}

// answerProbes serves Probe, and nothing else, until stop is called.
func (r *replica) serveProbes(listener *net.TCPListener) (stop func()) {
	server := api.NewServer(r.tls, maxMessageBytes)
	controlpb.RegisterPeersServer(server, &peerServer{r: r})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(nonClosingListener{listener})
	}()
	return func() {
		server.Stop()
		<-done
		_ = listener.SetDeadline(time.Time{}) // the listener is open; the replica's own server uses it next
	}
}

// bootstrap makes the setup's number and the configuration group with this replica as its only voter. Every configured
// peer must answer that it holds no group; otherwise a replica that lost its folder could make a second group. saved is
// the identity of an interrupted bootstrap, or empty.
func (r *replica) bootstrap(ctx context.Context, saved wal.Identity) (wal.Identity, error) {
	if err := r.checkNoPeerHasCluster(ctx); err != nil {
		return saved, err
	}
	id := saved
	if id.ID == 0 {
		var err error
		if id, err = wal.CreateIdentity(r.settings.DataFolder, r.settings.Name, randomUint63()|1); err != nil {
			return id, err
		}
	}
	if err := initializeGroupLog(r.groupFolder(configurationGroup), []*raftpb.Member{r.selfMember(id.ID)}); err != nil {
		return id, err
	}
	r.log.Log(eventGroupBootstrapped, telemetry.F("id", id.ID), telemetry.F("cluster", id.ClusterID))
	return id, nil
}

// checkPeersEmpty waits, for a bounded time, until every peer has answered that it belongs to no setup.
func (r *replica) checkNoPeerHasCluster(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	for _, p := range r.settings.Peers {
		if p.Name == r.settings.Name {
			continue
		}
		answer, err := r.probe(ctx, p.Address)
		for err != nil && ctx.Err() == nil {
			sleep(ctx, joinInterval)
			answer, err = r.probe(ctx, p.Address)
		}
		if err != nil {
			return &BootstrapError{Peer: p.Name, Reason: "no answer: " + err.Error()}
		}
		if answer.ClusterId != 0 {
			return &BootstrapError{Peer: p.Name, Reason: "it already belongs to a setup"}
		}
	}
	return nil
}

// member describes this replica to its groups.
func (r *replica) selfMember(id uint64) *raftpb.Member {
	return &raftpb.Member{
		Id: id, Name: r.settings.Name, Address: r.settings.Peer.AdvertisedAddress(),
		Region: r.settings.Region, FailureDomain: r.settings.FailureDomain,
	}
}

// createGroup writes the first snapshot of a group with an empty state machine, unless the log holds something. The
// snapshot is durable and complete or not there at all; the folder alone tells nothing, because a crash can come between
// making it and saving the snapshot. An empty log may be started at any time: its replica has promised nothing, and the
// first snapshot is the same at every first voter.
func initializeGroupLog(folder string, voters []*raftpb.Member) error {
	log, err := wal.Open(folder)
	if err != nil {
		return err
	}
	if !log.IsEmpty() {
		return log.Close()
	}
	// A crash can also have come before the folders were synced, and opening the log syncs only those that it makes.
	for _, parent := range []string{filepath.Dir(folder), filepath.Dir(filepath.Dir(folder))} {
		if err := (wal.OS{}).SyncDir(parent); err != nil {
			return &wal.IOError{Operation: "sync folder", Cause: err}
		}
	}
	if err := log.SaveSnapshot(raft.BootstrapSnapshot(voters, nil)); err != nil {
		return err
	}
	return log.Close()
}

// learnCluster asks the peers for the setup's number until one of them belongs to a setup.
func (r *replica) discoverCluster(ctx context.Context) (wal.Identity, error) {
	for ctx.Err() == nil {
		for _, address := range r.candidateAddresses() {
			answer, err := r.probe(ctx, address)
			if err != nil || answer.ClusterId == 0 {
				continue
			}
			return wal.CreateIdentity(r.settings.DataFolder, r.settings.Name, answer.ClusterId)
		}
		sleep(ctx, joinInterval)
	}
	return wal.Identity{}, ctx.Err()
}

func (r *replica) probe(ctx context.Context, address string) (*controlpb.ProbeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.peerDialer().dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return controlpb.NewPeersClient(conn).Probe(ctx, &controlpb.ProbeRequest{})
}

// keepJoining asks to be added to each group of which this replica should be, but is not, a voter.
func (r *replica) runJoinLoop(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		groups, err := runInLoop(ctx, r.loop, func(finish func([]uint64, error)) { finish(r.groupsToJoin(), nil) })
		if err != nil {
			sleep(ctx, joinInterval)
			continue
		}
		candidates := r.candidateAddresses()
		for _, g := range groups {
			if len(candidates) > 0 {
				r.requestJoin(ctx, g, candidates[next%len(candidates)])
			}
		}
		next++
		sleep(ctx, joinInterval)
	}
}

// groupsToJoin lists groups without this replica in the membership, as far as it knows.
func (r *replica) groupsToJoin() []uint64 {
	var ids []uint64
	for _, g := range r.loop.ordered {
		if findMember(g.node.Status().Membership, g.self) == nil || r.mayHaveBeenRemoved(g) {
			ids = append(ids, g.id)
		}
	}
	return ids
}

// askToJoin asks one peer, and then the leader that it names.
func (r *replica) requestJoin(ctx context.Context, group uint64, address string) {
	r.log.Log(eventJoining, telemetry.F("group", group), telemetry.F("peer", address))
	for range 2 {
		answer, err := r.sendJoinRequest(ctx, group, address)
		if err != nil || answer.Accepted || answer.LeaderAddress == "" || answer.LeaderAddress == address {
			return
		}
		address = answer.LeaderAddress
	}
}

func (r *replica) sendJoinRequest(ctx context.Context, group uint64, address string) (*controlpb.JoinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.peerDialer().dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return controlpb.NewPeersClient(conn).Join(ctx, &controlpb.JoinRequest{Group: group, ClusterId: r.loop.clusterID, Member: r.loop.self})
}

// openGroup opens the log of a group, replays it into the machine and starts the node.
func (r *replica) openGroup(id uint64, region string, machine stateMachine) (*group, error) {
	log, err := wal.Open(r.groupFolder(id))
	if err != nil {
		return nil, err
	}
	r.logs = append(r.logs, log)
	snapshot, err := log.Snapshot()
	if err != nil {
		return nil, err
	}
	if snapshot != nil {
		if err := machine.Restore(snapshot.Data); err != nil {
			return nil, err
		}
	}
	node, err := raft.New(raft.Config{
		ID: r.loop.self.Id, Group: id,
		ElectionTicks: electionTicks, HeartbeatTicks: r.effectiveHeartbeatTicks(),
		Storage: log, Rand: randomIntn,
		// A round for each renewal would cost the leader more bytes than everything else it sends.
		BatchReads: true,
		// Changes of the catalogue are pushed, so that renewals may wait a little longer for their confirmation.
		ReadsWithHeartbeats: r.settings.Catalogue != nil,
	})
	if err != nil {
		return nil, err
	}
	g := newGroup(id, region, r.loop.self.Id, node, log, machine)
	g.applied = snapshot.GetIndex()
	r.loop.addGroup(g)
	return g, nil
}

// randomBelow returns a number from 0 up to but not including n.
func randomIntn(n int) int {
	return int(randomUint63() % uint64(n))
}
