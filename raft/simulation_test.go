package raft

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"heatherwall.example/api/raftpb"
)

// TestMain fixes the seed of rapid. Command-line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// operation is a write or read of the register. returned is 0 until the operation has completed. position is the position
// of the write, or of the value that a read returned, among the committed writes.
type operation struct {
	host             uint64
	write            bool
	value            string
	position         int
	called, returned int64
}

// simulation injects random faults into a cluster and checks the invariants each time a replica has processed a Ready.
type simulation struct {
	*cluster
	t      *rapid.T
	random *rand.Rand
	clock  int64
	nextID uint64
	// leaders holds the leader of each term; committed holds each entry that any replica has applied, by index.
	leaders   map[uint64]uint64
	committed map[uint64]*raftpb.Entry
	// committedBy holds, for each entry in committed, the term of the first replica that applied it: the entry was committed
	// in that term or earlier.
	committedBy map[uint64]uint64
	writes      map[string]*operation
	reads       map[uint64]*operation
	paused      map[uint64]bool
	partitioned map[uint64]bool
	// replacements maps the ID of each replica that has lost its disk to the ID of the replica that replaces it.
	replacements map[uint64]uint64
	// demotions holds the replicas that were voters, have been removed and are to become voters again.
	demotions map[uint64]bool
	// maxLost is the number of disks that may be lost before the first of them is replaced; with losesAny, any number.
	maxLost  int
	losesAny bool
	// crashPerMille is the probability, in 1/1,000, of a crash at each call of shouldCrash.
	crashPerMille int
}

func newSimulation(t *rapid.T, size, maxLost int) *simulation {
	random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	s := &simulation{
		cluster: newCluster(t, size), t: t, random: random, nextID: 100,
		leaders: map[uint64]uint64{}, committed: map[uint64]*raftpb.Entry{}, committedBy: map[uint64]uint64{},
		writes: map[string]*operation{}, reads: map[uint64]*operation{},
		paused: map[uint64]bool{}, partitioned: map[uint64]bool{}, replacements: map[uint64]uint64{}, demotions: map[uint64]bool{},
		maxLost: maxLost, crashPerMille: random.Intn(20),
	}
	s.cluster.random = random.Intn
	s.isDropped = func(m *raftpb.Message) bool { return s.partitioned[m.From] != s.partitioned[m.To] || s.paused[m.To] }
	s.shouldCrash = func(*host) bool { return random.Intn(1000) < s.crashPerMille }
	s.afterReady = s.checkInvariants
	return s
}

// checkInvariants checks the safety properties of Raft at one replica and records the operations that completed there.
func (s *simulation) checkInvariants(h *host) {
	s.clock++
	if h.node.role == Leader {
		s.checkLeader(h)
	}
	for _, e := range h.applied {
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
			s.t.Fatalf("state machine safety violated: different entries applied at index %d: %v and %v", e.Index, known, e)
		}
		if !ok {
			s.committed[e.Index], s.committedBy[e.Index] = e, h.node.term
		}
		// A write completes when any replica has applied it; every later read must see it.
		if w := s.writes[string(e.Data)]; w != nil && w.returned == 0 {
			w.returned = s.clock
		}
	}
	h.applied = nil
	for _, r := range h.reads {
		if o := s.reads[r.ID]; o.returned == 0 && h.index >= r.Index {
			o.returned, o.value = s.clock, h.value
		}
	}
	s.checkLogMatching(h)
}

func (s *simulation) checkLeader(h *host) {
	n := h.node
	if known, ok := s.leaders[n.term]; ok && known != h.id {
		s.t.Fatalf("election safety violated: replicas %d and %d are leaders of term %d", known, h.id, n.term)
	}
	if _, ok := s.leaders[n.term]; !ok {
		s.leaders[n.term] = h.id
		for index, e := range s.committed {
			// A replica may win an earlier term late; it need not have entries that were committed in later terms.
			if s.committedBy[index] < n.term && index >= n.log.firstIndex() && !n.log.matches(index, e.Term) {
				s.t.Fatalf("leader completeness violated: leader %d of term %d lacks %v", h.id, n.term, e)
			}
		}
	}
	pending := 0
	for _, m := range n.memberships {
		if m.index > n.log.committed {
			pending++
		}
	}
	if pending > 1 {
		s.t.Fatalf("%d uncommitted membership changes on leader %d", pending, h.id)
	}
}

// checkLogMatching compares the last 20 indexes or so of the replica's log with those of the other replicas: where two logs
// have the same term at an index, they must also be equal before it.
func (s *simulation) checkLogMatching(h *host) {
	for _, id := range s.ids() {
		other := s.hosts[id].node
		if other == nil || other == h.node {
			continue
		}
		last := min(other.log.lastIndex(), h.node.log.lastIndex())
		lowest := max(other.log.firstIndex(), h.node.log.firstIndex(), last-min(last, 20))
		same := false
		for i := last; i >= lowest; i-- {
			a, _ := h.node.log.term(i)
			b, _ := other.log.term(i)
			if same && a != b {
				s.t.Fatalf("log matching violated: replicas %d and %d differ at index %d but match at a later one", h.id, id, i)
			}
			same = same || a == b
		}
	}
}

func (s *simulation) randomHost() *host {
	ids := s.ids()
	return s.hosts[ids[s.random.Intn(len(ids))]]
}

// randomStep performs one random action: it delivers messages, ticks, injects or heals a fault, or sends a request.
func (s *simulation) randomStep() {
	s.clock++
	h := s.randomHost()
	switch n := s.random.Intn(1000); {
	case n < 350:
		s.deliverOne()
	case n < 450:
		s.tickRunning(1)
	case n < 550:
		s.tickRunning(s.random.Intn(4))
		for range s.random.Intn(40) {
			s.deliverOne()
		}
	case n < 600:
		s.tickRunning(1)
		s.deliverAll()
	case n < 610:
		s.partitioned = map[uint64]bool{h.id: true, s.randomHost().id: true}
	case n < 630:
		clear(s.partitioned)
	case n < 635:
		s.paused[h.id] = true
	case n < 650:
		clear(s.paused)
	case n < 655:
		s.loseDisk(h)
		if s.random.Intn(2) == 0 {
			s.loseDisk(s.randomHost())
		}
	case n < 657:
		s.reportLosses(h)
	case n < 665:
		if h.node != nil {
			s.crash(h)
		}
	case n < 670:
		s.compactSome()
	case n < 750 && h.node == nil:
		s.start(h)
	default:
		s.sendRandomRequest(s.leaderOrHost(h))
	}
	s.processReady(s.randomHost())
}

// leaderOrHost returns, in two of three cases, a replica that considers itself the leader, and otherwise h, so that enough
// requests succeed.
func (s *simulation) leaderOrHost(h *host) *host {
	for _, id := range s.ids() {
		if l := s.hosts[id]; l.node != nil && l.node.role == Leader && s.random.Intn(3) > 0 {
			return l
		}
	}
	return h
}

// sendRandomRequest sends a write, a read, a leadership transfer or a membership change, as the users of a Node do.
func (s *simulation) sendRandomRequest(h *host) {
	if h.node == nil {
		return
	}
	switch n := s.random.Intn(20); {
	case n < 8:
		s.write(h)
	case n < 14:
		s.read(s.randomHost())
	case n < 15:
		ignoreExpectedError(s.t, h.node.TransferLeadership(s.randomHost().id))
	case n < 16:
		s.proposeDemotion(h)
	default:
		s.proposeRepair(h)
	}
}

// ignoreExpectedError ignores errors that report that a replica cannot serve a request now. An InvariantError fails the
// test.
func ignoreExpectedError(t *rapid.T, err error) {
	var stopped *InvariantError
	if errors.As(err, &stopped) {
		t.Fatal(err)
	}
}

// deliverOne delivers a random message, or sometimes drops or duplicates it.
func (s *simulation) deliverOne() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.Intn(len(s.network))
	m := s.network[i]
	if s.random.Intn(10) > 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if s.random.Intn(10) > 0 {
		s.deliver(m)
	}
}

func (s *simulation) tickRunning(n int) {
	for range n {
		for _, id := range s.ids() {
			if h := s.hosts[id]; h.node != nil && !s.paused[id] {
				h.node.Tick()
			}
		}
	}
}

func (s *simulation) write(h *host) {
	s.nextID++
	o := &operation{host: h.id, write: true, value: fmt.Sprint(s.nextID), called: s.clock}
	err := h.node.Propose([]byte(o.value))
	if err == nil {
		s.writes[o.value] = o
	}
	ignoreExpectedError(s.t, err)
}

func (s *simulation) read(h *host) {
	if h.node == nil {
		return
	}
	s.nextID++
	s.reads[s.nextID] = &operation{host: h.id, called: s.clock}
	ignoreExpectedError(s.t, h.node.ReadIndex(s.nextID))
}

func (s *simulation) compactSome() {
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.node == nil || s.random.Intn(2) == 0 {
			continue
		}
		snapshot, err := h.node.NewSnapshot(h.index, []byte(h.value))
		if err == nil {
			err = h.storage.SaveSnapshot(snapshot)
		}
		ignoreExpectedError(s.t, err)
	}
}

// checkRecovery ends all faults and checks that the cluster completes pending replacements, converges and commits again.
func (s *simulation) checkRecovery() {
	s.crashPerMille = 0
	clear(s.partitioned)
	clear(s.paused)
	for range 1000 {
		for _, id := range s.ids() {
			if h := s.hosts[id]; h.node == nil {
				s.start(h)
			}
			s.reportLosses(s.hosts[id])
			s.proposeRepair(s.hosts[id])
			s.requestJoin(id)
		}
		s.tick(1)
		if len(s.replacements) == 0 && len(s.demotions) == 0 && s.hasConverged() {
			return
		}
		s.write(s.randomHost())
	}
	s.t.Fatal("the cluster has not converged within 1,000 ticks after the end of all faults")
}

// requestJoin lets a replica that the leader does not know as a member ask to become a voter again. Its demotion may have
// been committed by a later leader than the one that proposed it.
func (s *simulation) requestJoin(id uint64) {
	if s.isReplacement(id) {
		return
	}
	for _, h := range s.hosts {
		if h.node != nil && h.node.role == Leader && h.node.hasQuorum() && !isVoter(h.node.membership(), id) {
			s.demotions[id] = true
		}
	}
}

func (s *simulation) hasConverged() bool {
	index := uint64(0)
	for _, id := range s.ids() {
		h := s.hosts[id]
		if index == 0 {
			index = h.index
		}
		if h.index != index || h.index != h.node.log.lastIndex() || !h.node.hasCommittedInTerm() {
			return false
		}
	}
	return true
}

// register is the sequential specification of the register for porcupine. Its state is the number of writes so far. Writes
// must take effect in the order of the log (see operation.position), so that the check takes linear time.
var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(*operation)
		if o.write {
			return o.position == state.(int)+1, o.position
		}
		return o.position == state, state
	},
}

func (s *simulation) checkLinearizable() {
	var history []porcupine.Operation
	positions := map[string]int{}
	add := func(o *operation) {
		o.position = positions[o.value]
		history = append(history, porcupine.Operation{ClientId: len(history), Input: o, Call: o.called, Return: o.returned})
	}
	for _, index := range slices.Sorted(maps.Keys(s.committed)) {
		if o := s.writes[string(s.committed[index].Data)]; o != nil {
			positions[o.value] = len(positions) + 1
			add(o)
		}
	}
	for _, o := range s.reads {
		if o.returned > 0 {
			add(o)
		}
	}
	if !porcupine.CheckOperations(register, history) {
		s.t.Fatalf("history of %d operations is not linearizable", len(history))
	}
}

// Guards against a quorum of half of the voters that elects a leader without committed entries. Any number of disks is lost at
// any time, and voters are demoted until two are left, so that the group often ends without a quorum, which is allowed.
func TestNoLossIsSilent(t *testing.T) {
	for _, size := range []int{2, 3, 4, 5, 6} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, size, 1)
				s.losesAny = true
				for range rapid.IntRange(100, 1500).Draw(t, "steps") {
					s.randomStep()
				}
				s.checkLinearizable()
			})
		})
	}
}

// Guards against safety violations caused by lost, duplicated and reordered messages, partitions, paused replicas, lost
// disks, compaction and crashes between any two of a replica's saves, syncs and sent messages, and against a cluster that
// does not recover after all faults have ended. In the groups of 4 to 7, two disks are lost at once, also half of all.
func TestSafetyUnderFaults(t *testing.T) {
	for _, c := range []struct{ size, maxLost int }{{3, 1}, {5, 1}, {4, 2}, {5, 2}, {6, 2}, {7, 2}} {
		t.Run(fmt.Sprintf("%d replicas, %d lost disks", c.size, c.maxLost), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, c.size, c.maxLost)
				for range rapid.IntRange(100, 1500).Draw(t, "steps") {
					s.randomStep()
				}
				s.checkRecovery()
				s.checkLinearizable()
			})
		})
	}
}
