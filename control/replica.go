package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft/wal"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// reportInterval is the time between two periodic reports to the other replicas.
	reportInterval = time.Second
	// catalogueReportInterval replaces reportInterval when the replica has a catalogue. Gateways then do not need each
	// other's ages for a lease, and the reports between all pairs of replicas would cost more bytes between regions than
	// the log.
	catalogueReportInterval = 5 * time.Second
	// maxMessageBytes bounds a gRPC message from a peer; snapshots of a group are the largest messages.
	maxMessageBytes = 128 << 20
	// leadershipTransferTimeout bounds how long a stopping replica waits until other replicas lead its groups.
	leadershipTransferTimeout = 2 * time.Second
	// quotaHandOverTimeout bounds how long a stopping replica waits until others own its slots of workspaces.
	quotaHandOverTimeout = time.Second
	// stopTimeout bounds how long a stopping replica waits for in-flight calls.
	stopTimeout = 5 * time.Second
)

// replica holds the components of one control replica.
type replica struct {
	settings *settings.Control
	log      *telemetry.Logger
	counters *counters
	tls      *tls.Config
	options  Options
	// seeds holds the seed addresses of discovery; a reload of the settings file replaces them.
	seeds atomic.Pointer[[]string]
	// servers holds the reports that backend servers sent to this replica. Only the loop uses it.
	servers *serverReports
	// catalogueChanges notifies the streams to gateways when the catalogue changes.
	catalogueChanges changeNotifier

	// candidateID is the ID that this replica takes when it joins a cluster. It is new in each run of the process, so that a
	// bootstrap replica cannot give it to a replica that has lost its data since.
	candidateID uint64
	// isJoining is set before the identity is created, so that nobody is told then that this replica belongs to no cluster.
	isJoining atomic.Bool
	// offers passes calls of Bootstrap to the goroutine that looks for a cluster.
	offers chan bootstrapOffer

	loop          *loop
	transport     *transport
	directory     *gatewayDirectory
	configuration *configurationMachine
	quotas        *quotas
	// routes follows the route tables in the log of the configuration group.
	routes routeLog
	// logs holds the logs of all groups, to close them when the replica stops.
	logs []*wal.Log
	// batches holds the claim commands collected in the current loop iteration, by group.
	batches map[uint64]*claimBatch
	// outbox holds what the current loop iteration sends, by address.
	outbox map[string]peerPayload
	// creatingClaimGroups holds the regions whose claim group has been proposed and is not yet committed or rejected.
	creatingClaimGroups map[string]bool
	floorsRaisedAt      time.Time
	memoryLimitSetAt    time.Time
	// reportDue requests a report to the other replicas at the next tick; it is set when a gateway's state has changed.
	reportDue atomic.Bool
	// opened is set once the groups are open; the fields above are initialized from then on.
	opened     atomic.Bool
	reportedAt time.Time
	// stopping is closed when the replica stops, which ends the streams: they would otherwise never end.
	stopping chan struct{}
}

// Options configures Run. With the zero value, the replica joins an existing cluster.
type Options struct {
	// Bootstrap creates the configuration group in an empty data folder, after all configured peers have answered that
	// they belong to no cluster.
	Bootstrap bool
	// Catalogue returns the HTTP handler of the catalogue listener. If it is nil, the listener is not opened, even if the
	// settings contain it.
	Catalogue func(*Catalogue) http.Handler
	// Reload delivers the new settings after each change of the settings file. Only the discovery seeds take effect
	// without a restart. It may be nil.
	Reload <-chan *settings.Control
}

// Run starts a control replica and serves until ctx ends; then it transfers its leaderships and stops. Errors have the
// types of this package and of settings, raft and wal.
func Run(ctx context.Context, s *settings.Control, log *telemetry.Logger, o Options) error {
	var tlsConfig *tls.Config
	if s.Peer.TLS != nil {
		var err error
		if tlsConfig, err = s.Peer.TLS.Load(); err != nil {
			return err
		}
	}
	r := newReplica(s, tlsConfig, log)
	r.options = o
	if s.Discovery != nil {
		r.setSeeds(s.Discovery.PeerAddresses())
	}
	peers, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort(s.Peer.Address)))
	if err != nil {
		return err
	}
	defer peers.Close()
	admin, err := net.Listen("tcp", s.Admin.Address)
	if err != nil {
		return err
	}
	defer admin.Close()
	lock, err := wal.LockFolder(s.DataFolder)
	if err != nil {
		return err
	}
	return errors.Join(r.run(ctx, peers, admin), lock.Unlock())
}

func newReplica(s *settings.Control, tlsConfig *tls.Config, log *telemetry.Logger) *replica {
	return &replica{
		settings: s, log: log, counters: newCounters(), tls: tlsConfig,
		batches: map[uint64]*claimBatch{}, outbox: map[string]peerPayload{}, creatingClaimGroups: map[string]bool{}, stopping: make(chan struct{}),
		servers: newServerReports(), candidateID: randomUint63() | 1, offers: make(chan bootstrapOffer),
	}
}

func (r *replica) run(ctx context.Context, peers *net.TCPListener, admin net.Listener) error {
	var wg sync.WaitGroup
	adminServer := newCallServer(r.adminMux())
	wg.Go(func() { _ = adminServer.Serve(admin) })
	defer wg.Wait()
	defer adminServer.Close()
	identity, err := r.loadOrCreateIdentity(ctx, peers)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.openGroups(background, identity); err != nil {
		return err
	}
	r.opened.Store(true)
	stopCatalogue, err := r.serveCatalogue(&wg)
	if err != nil {
		return errors.Join(err, r.closeLogs())
	}
	server := r.newGRPCServer()
	wg.Go(func() { r.loop.run() })
	wg.Go(func() { _ = server.Serve(peers) })
	wg.Go(func() { r.runJoinLoop(background) })
	wg.Go(func() { r.watchSettingsReloads(background) })
	r.log.Log(eventStarted, telemetry.F("id", identity.ID), telemetry.F("cluster", identity.ClusterID), telemetry.F("address", peers.Addr().String()))

	select {
	case <-ctx.Done():
		stopCatalogue()
		r.handOverQuotas()
		r.transferLeaderships()
	case <-r.loop.done:
		stopCatalogue()
	}
	close(r.stopping)
	stopServer(server)
	close(r.loop.stop)
	cancel()
	<-r.loop.done
	r.transport.wait()
	return errors.Join(r.loop.fatal, r.closeLogs())
}

// runUntilStopped runs the body of a stream handler. When the replica stops, it returns before the body does; the body
// then ends together with the stream.
func (r *replica) runUntilStopped(body func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- body() }()
	select {
	case err := <-ended:
		return err
	case <-r.stopping:
		return status.Error(codes.Unavailable, (&StoppedError{}).Error())
	}
}

func (r *replica) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// stopServer waits up to stopTimeout for in-flight calls to finish and then closes the server.
func stopServer(server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		server.Stop()
		<-stopped
	}
}

func (r *replica) newGRPCServer() *grpc.Server {
	server := api.NewServer(r.tls, maxMessageBytes, grpc.ConnectionTimeout(5*time.Second))
	controlpb.RegisterPeersServer(server, &peerServer{r: r})
	controlpb.RegisterConfigurationsServer(server, &configurationServer{r: r})
	controlpb.RegisterClaimsServer(server, &claimServer{r: r})
	controlpb.RegisterOperatorsServer(server, &operatorServer{r: r})
	controlpb.RegisterQuotasServer(server, &quotaServer{r: r})
	return server
}

// openGroups creates the loop and the transport and opens the configuration group and the claim groups of this region.
func (r *replica) openGroups(ctx context.Context, id wal.Identity) error {
	r.loop = newLoop(r.selfMember(id.ID), id.ClusterID, r.log, r.counters)
	r.loop.minVoters = minVotersFor(r.settings.ToleratedDiskLosses)
	r.transport = newTransport(ctx, r.peerDialer(), id.ClusterID, r.log, r.counters)
	r.directory = newGatewayDirectory(id.ID, time.Now())
	r.transport.buildReport = func(base uint64) *controlpb.ReplicaReport { return r.directory.buildReport(base, time.Now()) }
	r.loop.send = r.collectMessages
	r.loop.flush = r.flushOutbox
	r.configuration = newConfigurationMachine()
	r.quotas = newQuotas(id.ID, r.settings.Catalogue)
	g, err := r.openGroup(configurationGroup, "", r.configuration)
	if err != nil {
		return err
	}
	if err := r.followRoutes(g); err != nil {
		return err
	}
	if err := r.openClaimGroups(); err != nil {
		return err
	}
	r.loop.beforeReady = func() {
		r.flushClaims()
		r.flushServerReports()
	}
	r.loop.afterReady = func() { r.catalogueChanges.notify(r.configuration.state.CatalogueIndex()) }
	r.loop.tickHooks = append(r.loop.tickHooks, r.runPeriodicTasks)
	return nil
}

// collectMessages adds the messages of a group to the outbox and drops those to replicas without a known address.
func (r *replica) collectMessages(g *group, messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	membership := g.node.Status().Membership
	for _, m := range messages {
		address := findMember(membership, m.To).GetAddress()
		if address == "" {
			address = r.loop.peerAddresses[m.To]
		}
		if address == "" {
			r.counters.peerMessagesDropped[droppedNoAddress].Inc(1)
			continue
		}
		p := r.outbox[address]
		p.messages = append(p.messages, m)
		r.outbox[address] = p
	}
}

// flushOutbox passes the outbox to the transport. Heartbeats of several groups and a report then share one batch,
// because sending each in its own batch would double its bytes.
func (r *replica) flushOutbox() {
	for address, p := range r.outbox {
		r.transport.send(address, p)
	}
	clear(r.outbox)
}

// runPeriodicTasks runs after each tick. It sends reports, maintains the voters of the groups and the claim groups, expires
// backend servers, raises the retention floors and adapts the memory limit.
func (r *replica) runPeriodicTasks(now time.Time) {
	if r.reportDue.Swap(false) || r.directory.hasRecentNewGateway(now) || now.Sub(r.reportedAt) >= r.effectiveReportInterval() {
		r.reportedAt = now
		r.queueReports(now)
	}
	for _, g := range r.loop.ordered {
		r.loop.maintainMembership(g)
	}
	r.maintainClaimGroups()
	r.expireSilentServers(now)
	r.maintainQuotas()
	r.counters.voters.Update(int64(r.loop.groups[configurationGroup].voterCount()))
	r.counters.lostVoters.Update(int64(r.loop.groups[configurationGroup].lostVoterCount()))
	r.raiseFloors(now)
	r.limitMemory(now)
}

func (r *replica) effectiveReportInterval() time.Duration {
	if r.settings.Catalogue != nil {
		return catalogueReportInterval
	}
	return reportInterval
}

func (r *replica) requestReport() {
	r.reportDue.Store(true)
}

// refreshDirectory updates the applied revision and the claim group leaders that the next reports contain.
func (r *replica) refreshDirectory(now time.Time) {
	leaders := map[string]string{}
	for _, g := range r.loop.groups {
		if a := g.leaderAddress(); g.region != "" && a != "" {
			leaders[g.region] = a
		}
	}
	r.directory.refresh(r.configuration.revision(), leaders, now)
}

func (r *replica) queueReports(now time.Time) {
	r.refreshDirectory(now)
	for _, m := range r.loop.groups[configurationGroup].node.Status().Membership.GetMembers() {
		if m.Id != r.loop.self.Id {
			p := r.outbox[m.Address]
			p.report = true
			r.outbox[m.Address] = p
		}
	}
}

// handOverQuotas gives up the slots of workspaces, so that a planned stop leaves none of them without tokens.
func (r *replica) handOverQuotas() {
	ctx, cancel := context.WithTimeout(context.Background(), quotaHandOverTimeout)
	defer cancel()
	// Without an outcome in time, the leader gives the slots to others once this replica is silent.
	_, _ = runInLoop(ctx, r.loop, func(finish func(struct{}, error)) {
		r.releaseQuotaSlots(func(err error) { finish(struct{}{}, err) })
	})
}

// transferLeaderships transfers every leadership of this replica to another voter, so that a planned stop causes no
// election timeout.
func (r *replica) transferLeaderships() {
	deadline := time.Now().Add(leadershipTransferTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		leading, err := runInLoop(ctx, r.loop, func(finish func(bool, error)) { finish(r.requestLeadershipTransfers(), nil) })
		cancel()
		if err != nil || !leading {
			return
		}
		time.Sleep(tickInterval)
	}
}

// requestLeadershipTransfers requests, for each group led here, a transfer to the voter with the longest replicated log.
// It reports whether this replica still leads a group that has another voter.
func (r *replica) requestLeadershipTransfers() bool {
	leading := false
	for _, g := range r.loop.ordered {
		st := g.node.Status()
		var best, match uint64
		for _, other := range st.Replicas {
			if other.ID != g.self && !other.Learner && other.Match >= match {
				best, match = other.ID, other.Match
			}
		}
		if best == 0 {
			continue
		}
		leading = true
		if st.TransferTo == 0 {
			// If the node refuses, this replica stays leader and the next call tries again.
			_ = g.node.TransferLeadership(best)
		}
	}
	return leading
}

func (r *replica) closeLogs() error {
	var all error
	for _, log := range r.logs {
		all = errors.Join(all, log.Close())
	}
	r.log.Log(eventStopped)
	return all
}
