package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft/wal"
	"heatherwall.example/telemetry"
)

// With discovery, the seed with the lowest address is the founder of the cluster. It asks the other seeds for the members
// that they would be, stores the first membership of the configuration group with up to initialVoters of them, and starts
// once a majority of these holds it as well. So no single disk can lose the cluster, and nothing is acknowledged before.
const (
	// initialVoters is the number of voters of a new cluster.
	initialVoters = 3
	// foundingInterval is the time between two rounds of probes.
	foundingInterval = 50 * time.Millisecond
	// foundingProbeTimeout is the timeout of one probe or call of Found.
	foundingProbeTimeout = 300 * time.Millisecond
	// foundingWait is how long the founder waits for all other seeds; then one other is enough.
	foundingWait = 700 * time.Millisecond
	// foundAloneAfter is the time after which the founder starts alone, because no other seed answers.
	foundAloneAfter = 10 * time.Second
	// acceptanceWait limits the wait until a majority of the initial voters holds the first membership.
	acceptanceWait = 5 * time.Second
)

// seedAnswers sorts what the other seeds answered in one round of probes.
type seedAnswers struct {
	// founded is set if a seed belongs to a cluster.
	founded bool
	// candidates are the members that seeds at their first start would be.
	candidates []*raftpb.Member
	// older counts the seeds whose build cannot take part in a founding.
	older int
	asked int
}

// foundingStep is what the founder does after a round of probes.
type foundingStep int

const (
	waitForSeeds foundingStep = iota
	joinCluster
	foundWithCandidates
	foundAlone
)

// next decides what the founder does after having waited for the given time. firstStart is false for a founder that lost
// its data folder. No cluster exists yet if every other seed is still at its first start, because the first membership
// needs one of them; the founder then founds again, as nobody else would.
func (a *seedAnswers) next(firstStart bool, waited time.Duration) foundingStep {
	switch {
	case a.founded:
		return joinCluster
	case a.asked > 0 && len(a.candidates) == a.asked:
		return foundWithCandidates
	case !firstStart:
		return waitForSeeds
	case a.asked == 0:
		return foundAlone
	case waited < foundingWait:
		return waitForSeeds
	case len(a.candidates) > 0:
		return foundWithCandidates
	case a.older > 0, waited >= foundAloneAfter:
		return foundAlone
	}
	return waitForSeeds
}

// isFounder reports whether this replica has the lowest address of the seeds. All replicas have the same seeds when they
// start for the first time, so that exactly one of them is the founder.
func (r *replica) isFounder() bool {
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

// foundOrJoin creates the configuration group, or joins the cluster that a seed belongs to. saved is the identity of an
// interrupted founding, or empty.
func (r *replica) foundOrJoin(ctx context.Context, saved wal.Identity) (wal.Identity, error) {
	started := time.Now()
	for ctx.Err() == nil {
		answers := r.probeSeeds(ctx)
		switch answers.next(r.settings.Discovery.FirstStart, time.Since(started)) {
		case joinCluster:
			if saved.ID != 0 {
				return saved, nil
			}
			return r.discoverCluster(ctx)
		case foundWithCandidates:
			return r.found(ctx, saved, answers.candidates)
		case foundAlone:
			return r.found(ctx, saved, nil)
		case waitForSeeds:
			sleep(ctx, foundingInterval)
		}
	}
	return wal.Identity{}, ctx.Err()
}

// probeSeeds asks all other seeds in parallel.
func (r *replica) probeSeeds(ctx context.Context) *seedAnswers {
	ctx, cancel := context.WithTimeout(ctx, foundingProbeTimeout)
	defer cancel()
	isOwn := func(a string) bool { return a == r.settings.Peer.AdvertisedAddress() }
	others := slices.DeleteFunc(slices.Clone(r.seedAddresses()), isOwn)
	found := make([]*controlpb.ProbeAnswer, len(others))
	var wg sync.WaitGroup
	for i, address := range others {
		wg.Go(func() { found[i], _ = r.probe(ctx, address) }) // a seed that does not answer is asked again
	}
	wg.Wait()
	answers := &seedAnswers{asked: len(others)}
	for _, a := range found {
		answers.add(a)
	}
	return answers
}

// add adds the answer of one seed; it is nil if the seed did not answer.
func (a *seedAnswers) add(answer *controlpb.ProbeAnswer) {
	switch {
	case answer == nil:
	case answer.ClusterId != 0:
		a.founded = true
	case answer.Candidate == nil:
		a.older++
	case answer.FirstStart:
		a.candidates = append(a.candidates, answer.Candidate)
	}
}

// found stores the first membership here, before any candidate gets it, and then gives it to the candidates.
func (r *replica) found(ctx context.Context, saved wal.Identity, candidates []*raftpb.Member) (wal.Identity, error) {
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
	request := &controlpb.FoundRequest{ClusterId: cluster, Voters: voters}
	accepted := make([]bool, len(voters))
	accepted[0] = true // this replica
	for {
		var wg sync.WaitGroup
		for i, v := range voters {
			if !accepted[i] {
				wg.Go(func() { accepted[i] = r.offerFounding(ctx, v.Address, request) })
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
		sleep(ctx, foundingInterval)
	}
}

// offerFounding reports whether the replica at an address holds the first membership.
func (r *replica) offerFounding(ctx context.Context, address string, request *controlpb.FoundRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, foundingProbeTimeout)
	defer cancel()
	conn, err := r.peerDialer().dial(address)
	if err != nil {
		return false
	}
	defer conn.Close()
	answer, err := controlpb.NewPeersClient(conn).Found(ctx, request)
	return err == nil && answer.Accepted
}

// foundingOffer is a call of Found for a replica that has no identity yet.
type foundingOffer struct {
	request *controlpb.FoundRequest
	// accepted receives whether the first membership was stored.
	accepted chan bool
}

// Found stores the first membership of the configuration group if this replica is one of its voters and belongs to no
// cluster. A repeated call is accepted again.
func (s *peerServer) Found(ctx context.Context, request *controlpb.FoundRequest) (*controlpb.FoundAnswer, error) {
	if _, err := s.checkReplica(ctx); err != nil {
		return nil, err
	}
	if s.r.opened.Load() {
		return &controlpb.FoundAnswer{Accepted: s.r.holdsFounding(ctx, request)}, nil
	}
	offer := foundingOffer{request: request, accepted: make(chan bool, 1)}
	select {
	case s.r.offers <- offer:
	case <-ctx.Done():
		return nil, notOpenStatus()
	}
	select {
	case accepted := <-offer.accepted:
		return &controlpb.FoundAnswer{Accepted: accepted}, nil
	case <-ctx.Done():
		return nil, notOpenStatus()
	}
}

// holdsFounding reports whether this replica belongs to the cluster as one of the initial voters and has its log.
func (r *replica) holdsFounding(ctx context.Context, request *controlpb.FoundRequest) bool {
	self := r.loop.self
	if request.ClusterId != r.loop.clusterID || !slices.ContainsFunc(request.Voters, func(m *raftpb.Member) bool { return m.Id == self.Id }) {
		return false
	}
	holds, err := runInLoop(ctx, r.loop, func(finish func(bool, error)) {
		finish(r.loop.groups[configurationGroup].node.Status().Membership != nil, nil)
	})
	return holds && err == nil
}

// acceptFounding stores the identity and the first membership of an offer for this replica. It returns false if the offer
// is meant for another run of the process, whose data may have been lost.
func (r *replica) acceptFounding(request *controlpb.FoundRequest) (wal.Identity, bool, error) {
	if request.ClusterId == 0 || !slices.ContainsFunc(request.Voters, func(m *raftpb.Member) bool { return m.Id == r.candidateID && m.Name == r.settings.Name }) {
		return wal.Identity{}, false, nil
	}
	r.isJoining.Store(true)
	id, err := wal.CreateIdentityAs(r.settings.DataFolder, r.settings.Name, r.candidateID, request.ClusterId)
	if err != nil {
		return id, false, err
	}
	voters := slices.SortedFunc(slices.Values(request.Voters), func(a, b *raftpb.Member) int { return cmp.Compare(a.Id, b.Id) })
	if err := initializeGroupLog(r.groupFolder(configurationGroup), voters); err != nil {
		return id, false, err
	}
	r.log.Log(eventFoundingAccepted, telemetry.F("id", id.ID), telemetry.F("cluster", id.ClusterID), telemetry.F("voters", len(voters)))
	return id, true, nil
}
