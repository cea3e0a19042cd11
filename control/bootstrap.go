package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft/wal"
	"heatherwall.example/telemetry"
)

// With discovery, the seed with the lowest address bootstraps the cluster. It asks the other seeds for the members
// that they would be, stores the first membership of the configuration group with up to initialVoters of them, and starts
// once a majority of these holds it as well. So no single disk can lose the cluster, and nothing is acknowledged before.
const (
	// initialVoters is the number of voters of a new cluster.
	initialVoters = 3
	// bootstrapInterval is the time between two rounds of probes.
	bootstrapInterval = 50 * time.Millisecond
	// bootstrapProbeTimeout is the timeout of one probe or call of Bootstrap.
	bootstrapProbeTimeout = 300 * time.Millisecond
	// bootstrapWait is how long the bootstrap replica waits for all other seeds; then one other is enough.
	bootstrapWait = 700 * time.Millisecond
	// bootstrapAloneAfter is the time after which the bootstrap replica starts alone, because no other seed answers.
	bootstrapAloneAfter = 10 * time.Second
	// acceptanceWait limits the wait until a majority of the initial voters holds the first membership.
	acceptanceWait = 5 * time.Second
)

// seedAnswers sorts what the other seeds answered in one round of probes.
type seedAnswers struct {
	// hasCluster is set if a seed belongs to a cluster.
	hasCluster bool
	// candidates are the members that seeds at their first start would be.
	candidates []*raftpb.Member
	// older counts the seeds whose build cannot take part in a bootstrap.
	older int
	asked int
}

// bootstrapStep is what the bootstrap replica does after a round of probes.
type bootstrapStep int

const (
	waitForSeeds bootstrapStep = iota
	joinCluster
	bootstrapWithCandidates
	bootstrapAlone
)

// next decides what the bootstrap replica does after having waited for the given time. firstStart is false if it has lost
// its data folder. No cluster exists yet if every other seed is still at its first start, because the first membership
// needs one of them; the replica then bootstraps again, as nobody else would.
func (a *seedAnswers) next(firstStart bool, waited time.Duration) bootstrapStep {
	switch {
	case a.hasCluster:
		return joinCluster
	case a.asked > 0 && len(a.candidates) == a.asked:
		return bootstrapWithCandidates
	case !firstStart:
		return waitForSeeds
	case a.asked == 0:
		return bootstrapAlone
	case waited < bootstrapWait:
		return waitForSeeds
	case len(a.candidates) > 0:
		return bootstrapWithCandidates
	case a.older > 0, waited >= bootstrapAloneAfter:
		return bootstrapAlone
	}
	return waitForSeeds
}

// isBootstrapReplica reports whether this replica has the lowest address of the seeds. All replicas have the same seeds
// when they start for the first time, so that exactly one of them is the bootstrap replica.
func (r *replica) isBootstrapReplica() bool {
	seeds := r.seedAddresses()
	return len(seeds) > 0 && seeds[0] == r.settings.Peer.AdvertisedAddress()
}

// seedAddresses returns the addresses of the seeds, the lowest first, and nil without discovery.
func (r *replica) seedAddresses() []string {
	if seeds := r.seeds.Load(); seeds != nil {
		return *seeds
	}
	return nil
}

// bootstrapOrJoin creates the configuration group, or joins the cluster that a seed belongs to. saved is the identity of an
// interrupted bootstrap, or empty.
func (r *replica) bootstrapOrJoin(ctx context.Context, saved wal.Identity) (wal.Identity, error) {
	started := time.Now()
	for ctx.Err() == nil {
		answers := r.probeSeeds(ctx)
		switch answers.next(r.settings.Discovery.FirstStart, time.Since(started)) {
		case joinCluster:
			if saved.ID != 0 {
				return saved, nil
			}
			return r.discoverCluster(ctx)
		case bootstrapWithCandidates:
			return r.bootstrapWith(ctx, saved, answers.candidates)
		case bootstrapAlone:
			return r.bootstrapWith(ctx, saved, nil)
		case waitForSeeds:
			sleep(ctx, bootstrapInterval)
		}
	}
	return wal.Identity{}, ctx.Err()
}

// probeSeeds asks all other seeds in parallel.
func (r *replica) probeSeeds(ctx context.Context) *seedAnswers {
	ctx, cancel := context.WithTimeout(ctx, bootstrapProbeTimeout)
	defer cancel()
	isOwn := func(a string) bool { return a == r.settings.Peer.AdvertisedAddress() }
	others := slices.DeleteFunc(slices.Clone(r.seedAddresses()), isOwn)
	received := make([]*controlpb.ProbeAnswer, len(others))
	var wg sync.WaitGroup
	for i, address := range others {
		wg.Go(func() { received[i], _ = r.probe(ctx, address) }) // a seed that does not answer is asked again
	}
	wg.Wait()
	answers := &seedAnswers{asked: len(others)}
	for _, a := range received {
		answers.add(a)
	}
	return answers
}

// add adds the answer of one seed; it is nil if the seed did not answer.
func (a *seedAnswers) add(answer *controlpb.ProbeAnswer) {
	switch {
	case answer == nil:
	case answer.ClusterId != 0:
		a.hasCluster = true
	case answer.Candidate == nil:
		a.older++
	case answer.FirstStart:
		a.candidates = append(a.candidates, answer.Candidate)
	}
}

// bootstrapWith stores the first membership here, before any candidate gets it, and then gives it to the candidates.
func (r *replica) bootstrapWith(ctx context.Context, saved wal.Identity, candidates []*raftpb.Member) (wal.Identity, error) {
	r.isJoining.Store(true)
	id := saved
	if id.ID == 0 {
		var err error
		if id, err = wal.CreateIdentity(r.settings.DataFolder, r.settings.Name, randomUint63()|1); err != nil {
			return id, err
		}
	}
	voters := append([]*raftpb.Member{r.selfMember(id.ID)}, candidates[:min(len(candidates), initialVoters-1)]...)
	if err := initializeGroupLog(r.groupFolder(configurationGroup), voters); err != nil {
		return id, err
	}
	accepted := r.awaitAcceptance(ctx, id.ClusterID, voters)
	r.log.Log(eventGroupBootstrapped, telemetry.F("id", id.ID), telemetry.F("cluster", id.ClusterID), telemetry.F("voters", len(voters)), telemetry.F("accepted", accepted))
	return id, nil
}

// awaitAcceptance offers the first membership to the other voters until a majority holds it or acceptanceWait has passed.
// It returns the number of voters that hold it. Without a majority the group elects no leader, so starting it is safe.
func (r *replica) awaitAcceptance(ctx context.Context, cluster uint64, voters []*raftpb.Member) int {
	ctx, cancel := context.WithTimeout(ctx, acceptanceWait)
	defer cancel()
	request := &controlpb.BootstrapRequest{ClusterId: cluster, Voters: voters}
	accepted := make([]bool, len(voters))
	accepted[0] = true // this replica
	for {
		var wg sync.WaitGroup
		for i, v := range voters {
			if !accepted[i] {
				wg.Go(func() { accepted[i] = r.offerBootstrap(ctx, v.Address, request) })
			}
		}
		wg.Wait()
		n := 0
		for _, a := range accepted {
			if a {
				n++
			}
		}
		if n > len(voters)/2 || ctx.Err() != nil {
			return n
		}
		sleep(ctx, bootstrapInterval)
	}
}

// offerBootstrap reports whether the replica at an address holds the first membership.
func (r *replica) offerBootstrap(ctx context.Context, address string, request *controlpb.BootstrapRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, bootstrapProbeTimeout)
	defer cancel()
	conn, err := r.peerDialer().dial(address)
	if err != nil {
		return false
	}
	defer conn.Close()
	answer, err := controlpb.NewPeersClient(conn).Bootstrap(ctx, request)
	return err == nil && answer.Accepted
}

// bootstrapOffer is a call of Bootstrap for a replica that has no identity yet.
type bootstrapOffer struct {
	request *controlpb.BootstrapRequest
	// accepted receives whether the first membership was stored.
	accepted chan bool
}

// Bootstrap stores the first membership of the configuration group if this replica is one of its voters and belongs to no
// cluster. A repeated call is accepted again.
func (s *peerServer) Bootstrap(ctx context.Context, request *controlpb.BootstrapRequest) (*controlpb.BootstrapAnswer, error) {
	if _, err := s.checkReplica(ctx); err != nil {
		return nil, err
	}
	if s.r.opened.Load() {
		return &controlpb.BootstrapAnswer{Accepted: s.r.holdsBootstrap(ctx, request)}, nil
	}
	offer := bootstrapOffer{request: request, accepted: make(chan bool, 1)}
	select {
	case s.r.offers <- offer:
	case <-ctx.Done():
		return nil, notOpenStatus()
	}
	select {
	case accepted := <-offer.accepted:
		return &controlpb.BootstrapAnswer{Accepted: accepted}, nil
	case <-ctx.Done():
		return nil, notOpenStatus()
	}
}

// holdsBootstrap reports whether this replica belongs to the cluster as one of the initial voters and has its log.
func (r *replica) holdsBootstrap(ctx context.Context, request *controlpb.BootstrapRequest) bool {
	self := r.loop.self
	if request.ClusterId != r.loop.clusterID || !slices.ContainsFunc(request.Voters, func(m *raftpb.Member) bool { return m.Id == self.Id }) {
		return false
	}
	holds, err := runInLoop(ctx, r.loop, func(finish func(bool, error)) {
		finish(r.loop.groups[configurationGroup].node.Status().Membership != nil, nil)
	})
	return holds && err == nil
}

// acceptBootstrap stores the identity and the first membership of an offer for this replica. It returns false if the offer
// is meant for another run of the process, whose data may have been lost.
func (r *replica) acceptBootstrap(request *controlpb.BootstrapRequest) (wal.Identity, bool, error) {
	if request.ClusterId == 0 || !slices.ContainsFunc(request.Voters, func(m *raftpb.Member) bool { return m.Id == r.candidateID && m.Name == r.settings.Name }) {
		return wal.Identity{}, false, nil
	}
	r.isJoining.Store(true)
	id, err := wal.CreateIdentityAs(r.settings.DataFolder, r.settings.Name, r.candidateID, request.ClusterId)
	if err != nil {
		return id, false, err
	}
	if err := initializeGroupLog(r.groupFolder(configurationGroup), request.Voters); err != nil {
		return id, false, err
	}
	r.log.Log(eventBootstrapAccepted, telemetry.F("id", id.ID), telemetry.F("cluster", id.ClusterID), telemetry.F("voters", len(request.Voters)))
	return id, true, nil
}
