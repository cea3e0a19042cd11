package raft

import (
	"fmt"
	"slices"

	"heatherwall.example/api/raftpb"
)

// Timeouts in the tests, in ticks. Their ratio is the same as in production.
const (
	testElectionTicks  = 8
	testHeartbeatTicks = 2
)

// testingT is the common subset of testing.T, testing.B and rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// host runs one replica of a cluster under test. Its node is nil while it is down.
type host struct {
	id      uint64
	node    *Node
	storage *MemoryStorage
	applied []*raftpb.Entry
	reads   []ReadState
	// index and value are the state of the state machine: the last applied index and a register that entries overwrite.
	index uint64
	value string
}

// unsyncedSaver saves without a sync, so that the test decides when the storage is synced.
type unsyncedSaver struct{ *MemoryStorage }

func (s unsyncedSaver) Save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	return s.SaveUnsynced(hs, entries)
}

// cluster runs replicas in one goroutine. Its network delivers messages in order unless a test injects faults.
type cluster struct {
	t       testingT
	hosts   map[uint64]*host
	network []*raftpb.Message
	// isDropped reports whether the network drops a message.
	isDropped func(m *raftpb.Message) bool
	// shouldCrash is called after each save, before its sync, and before each message that a replica sends; it reports
	// whether the replica crashes there. afterReady runs after each Ready that a replica has processed.
	shouldCrash func(h *host) bool
	afterReady  func(h *host)
	random      func(n int) int
}

func memberOf(id uint64) *raftpb.Member {
	return &raftpb.Member{Id: id, Name: fmt.Sprintf("replica-%d", id)}
}

func newCluster(t testingT, size int) *cluster {
	seed := uint32(1)
	c := &cluster{t: t, hosts: map[uint64]*host{}, isDropped: func(*raftpb.Message) bool { return false }}
	c.shouldCrash, c.afterReady = func(*host) bool { return false }, func(*host) {}
	c.random = func(n int) int {
		seed = seed*1664525 + 1013904223
		return int(seed>>16) % n
	}
	var members []*raftpb.Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, memberOf(id))
	}
	for _, m := range members {
		c.addReplica(m.Id, BootstrapSnapshot(members, nil))
	}
	return c
}

func (c *cluster) addReplica(id uint64, s *raftpb.Snapshot) *host {
	h := &host{id: id, storage: NewMemoryStorage(s)}
	c.hosts[id] = h
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	node, err := New(Config{
		ID: h.id, Group: 1, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		Storage: h.storage, Rand: c.random, MaxMessageBytes: 256,
	})
	if err != nil {
		c.t.Fatalf("start replica %d: %v", h.id, err)
	}
	h.node, h.applied, h.reads = node, nil, nil
	s, _ := h.storage.Snapshot()
	h.index, h.value = s.Index, string(s.Data)
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// processReady saves, sends and applies the contents of a replica's Ready until it has none, or until the replica crashes.
func (c *cluster) processReady(h *host) {
	for h.node != nil && h.node.HasReady() {
		r := h.node.Ready()
		if err := r.Save(unsyncedSaver{h.storage}); err != nil {
			c.t.Fatalf("save on replica %d: %v", h.id, err)
		}
		if c.shouldCrash(h) {
			c.crash(h)
			return
		}
		h.storage.Sync()
		for _, m := range r.Messages {
			if c.shouldCrash(h) {
				c.crash(h)
				return
			}
			c.network = append(c.network, m)
		}
		h.apply(r)
		h.node.Advance(r)
		c.afterReady(h)
	}
	if h.node != nil && h.node.Err() != nil {
		c.t.Fatalf("replica %d: %v", h.id, h.node.Err())
	}
}

func (h *host) apply(r Ready) {
	if r.Snapshot != nil {
		h.index, h.value = r.Snapshot.Index, string(r.Snapshot.Data)
	}
	for _, e := range r.CommittedEntries {
		h.index = e.Index
		if e.Type == raftpb.EntryType_ENTRY_DATA && len(e.Data) > 0 {
			h.value = string(e.Data)
		}
	}
	h.applied = append(h.applied, r.CommittedEntries...)
	h.reads = append(h.reads, r.ReadStates...)
}

// crash stops a replica, which loses everything that it has not synced.
func (c *cluster) crash(h *host) {
	h.node = nil
	h.storage.Crash()
}

// deliverAll processes all replicas and delivers messages until there are none left.
func (c *cluster) deliverAll() {
	for {
		for _, id := range c.ids() {
			c.processReady(c.hosts[id])
		}
		if len(c.network) == 0 {
			return
		}
		batch := c.network
		c.network = nil
		for _, m := range batch {
			c.deliver(m)
		}
	}
}

func (c *cluster) deliver(m *raftpb.Message) {
	h := c.hosts[m.To]
	if h == nil || h.node == nil || c.isDropped(m) {
		return
	}
	if err := h.node.Step(m); err != nil {
		c.t.Fatalf("step on replica %d: %v", m.To, err)
	}
	c.processReady(h)
}

func (c *cluster) tick(n int) {
	for range n {
		for _, id := range c.ids() {
			if h := c.hosts[id]; h.node != nil {
				h.node.Tick()
			}
		}
		c.deliverAll()
	}
}

// leader ticks until there is a leader that has committed an entry of its term and is not isolated, and returns it.
func (c *cluster) leader() *host {
	c.t.Helper()
	for range 200 {
		c.tick(1)
		for _, id := range c.ids() {
			h := c.hosts[id]
			if h.node != nil && h.node.role == Leader && h.node.hasCommittedInTerm() && !c.isIsolated(id) {
				return h
			}
		}
	}
	c.t.Fatal("no leader after 200 ticks")
	return nil
}

func (c *cluster) isIsolated(id uint64) bool {
	return c.isDropped(&raftpb.Message{From: id, To: 0}) || c.isDropped(&raftpb.Message{From: 0, To: id})
}

// isolate drops all messages from and to the replicas, and only those; without arguments it heals the network.
func (c *cluster) isolate(ids ...uint64) {
	c.isDropped = func(m *raftpb.Message) bool {
		return slices.Contains(ids, m.From) || slices.Contains(ids, m.To)
	}
}

func (c *cluster) propose(h *host, data string) {
	c.t.Helper()
	if err := h.node.Propose([]byte(data)); err != nil {
		c.t.Fatal(err)
	}
	c.deliverAll()
}

func (h *host) appliedData() []string {
	var all []string
	for _, e := range h.applied {
		if e.Type == raftpb.EntryType_ENTRY_DATA && len(e.Data) > 0 {
			all = append(all, string(e.Data))
		}
	}
	return all
}
