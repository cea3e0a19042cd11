package control

import (
	"context"
	"errors"
	"net"
	"path/filepath"
	"strconv"
	"sync"
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
	probeTimeout = time.Second
	// bootstrapTimeout bounds how long the bootstrapping replica waits for its peers to answer.
	bootstrapTimeout = 30 * time.Second
)

func hasName(name string) func(settings.Replica) bool {
	return func(p settings.Replica) bool { return p.Name == name }
}

// groupFolder returns the folder of a group's log.
func (r *replica) groupFolder(id uint64) string {
	return filepath.Join(r.settings.DataFolder, "groups", strconv.FormatUint(id, 10))
}

// loadOrCreateIdentity loads the identity from the data folder. If there is none, it bootstraps the cluster, or waits
// until a peer returns the cluster ID; meanwhile it answers probes of a bootstrapping peer.
func (r *replica) loadOrCreateIdentity(ctx context.Context, listener *net.TCPListener) (wal.Identity, error) {
	saved, err := wal.LoadIdentity(r.settings.DataFolder)
	var missing *wal.NoIdentityError
	switch {
	case errors.As(err, &missing) && r.options.Bootstrap:
		return r.bootstrap(ctx, wal.Identity{})
	case errors.As(err, &missing) && r.isBootstrapReplica():
		stop := r.serveProbes(listener)
		defer stop()
		return r.bootstrapOrJoin(ctx, wal.Identity{})
	case errors.As(err, &missing):
		stop := r.serveProbes(listener)
		defer stop()
		return r.discoverCluster(ctx)
	case err != nil:
		return wal.Identity{}, err
	case saved.Name != r.settings.Name:
		return wal.Identity{}, &IdentityError{Certificate: r.settings.Name, Expected: "the owner of the data folder, " + saved.Name}
	}
	return r.completeBootstrap(ctx, saved)
}

// completeBootstrap completes a bootstrap that was interrupted after the identity was created.
func (r *replica) completeBootstrap(ctx context.Context, saved wal.Identity) (wal.Identity, error) {
	bootstraps := r.isBootstrapReplica() && r.settings.Discovery.FirstStart
	if !r.options.Bootstrap && !bootstraps {
		return saved, nil
	}
	empty, err := isLogEmpty(r.groupFolder(configurationGroup))
	if err != nil || !empty {
		return saved, err
	}
	if r.options.Bootstrap {
		return r.bootstrap(ctx, saved)
	}
	return r.bootstrapOrJoin(ctx, saved)
}

func isLogEmpty(folder string) (bool, error) {
	log, err := wal.Open(folder)
	if err != nil {
		return false, err
	}
	return log.IsEmpty(), log.Close()
}

// nonClosingListener lets a server stop without closing the listener, which the replica uses afterwards: Close only
// makes Accept return.
type nonClosingListener struct {
	*net.TCPListener
}

// Close makes Accept return immediately and leaves the listener open.
func (l nonClosingListener) Close() error {
	return l.SetDeadline(time.Now())
}

// serveProbes answers Probe and Bootstrap until stop is called. The other calls return Unavailable.
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
		_ = listener.SetDeadline(time.Time{}) // the replica's server uses the open listener next
	}
}

// bootstrap creates the cluster ID and the configuration group with this replica as its only voter. Every configured
// peer must first answer that it belongs to no cluster; otherwise a replica that lost its data folder could create a
// second configuration group. saved is the identity of an interrupted bootstrap, or empty.
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

// checkNoPeerHasCluster waits up to bootstrapTimeout until every peer has answered that it belongs to no cluster.
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
			return &BootstrapError{Peer: p.Name, Reason: "it already belongs to a cluster"}
		}
	}
	return nil
}

// selfMember returns the membership record of this replica.
func (r *replica) selfMember(id uint64) *raftpb.Member {
	return &raftpb.Member{
		Id: id, Name: r.settings.Name, Address: r.settings.Peer.AdvertisedAddress(),
		Region: r.settings.Region, FailureDomain: r.settings.FailureDomain,
	}
}

// initializeGroupLog writes the first snapshot of a group with an empty state machine, unless the log already has
// content. The snapshot is saved atomically. That the folder exists proves nothing, because the process may have
// crashed between creating it and saving the snapshot. An empty log can be initialized at any time: its replica has
// neither voted nor acknowledged anything, and the first snapshot is the same on every initial voter.
func initializeGroupLog(folder string, voters []*raftpb.Member) error {
	log, err := wal.Open(folder)
	if err != nil {
		return err
	}
	if !log.IsEmpty() {
		return log.Close()
	}
	// The process may also have crashed before the folders were synced, and wal.Open syncs only folders that it creates.
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

// discoverCluster asks the candidate addresses for the cluster ID until one of them belongs to a cluster, and creates
// the identity with that ID. Meanwhile the bootstrap replica may make this replica an initial voter.
func (r *replica) discoverCluster(ctx context.Context) (wal.Identity, error) {
	probing, cancel := context.WithCancel(ctx)
	clusters := make(chan uint64, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { r.probeForCluster(probing, clusters) })
	for {
		select {
		case offer := <-r.offers:
			id, accepted, err := r.acceptBootstrap(offer.request)
			offer.accepted <- accepted
			if accepted || err != nil {
				return id, err
			}
		case cluster := <-clusters:
			r.isJoining.Store(true)
			return wal.CreateIdentityAs(r.settings.DataFolder, r.settings.Name, r.candidateID, cluster)
		case <-ctx.Done():
			return wal.Identity{}, ctx.Err()
		}
	}
}

// probeForCluster sends the cluster ID of the first candidate address that belongs to a cluster.
func (r *replica) probeForCluster(ctx context.Context, clusters chan<- uint64) {
	for ctx.Err() == nil {
		for _, address := range r.candidateAddresses() {
			answer, err := r.probe(ctx, address)
			if err == nil && answer.ClusterId != 0 {
				clusters <- answer.ClusterId
				return
			}
		}
		sleep(ctx, joinInterval)
	}
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

// openGroup opens the log of a group, restores its snapshot into the state machine, creates the raft node and adds the
// group to the loop.
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
		// A read round for each renewal would cost the leader more bytes than everything else it sends.
		BatchReads: true,
		// Catalogue changes are pushed to gateways, so renewals may wait for the next heartbeat to be confirmed.
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

// randomIntn returns a random number in [0, n).
func randomIntn(n int) int {
	return int(randomUint63() % uint64(n))
}
