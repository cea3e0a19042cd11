package raft

import (
	"fmt"
	"slices"
	"testing"

	"heatherwall.example/api/raftpb"
)

// Ticks of the tests; the same ratio as in production.
const (
	testElectionTicks  = 8
	testHeartbeatTicks = 2
)

// host is one replica of a cluster under test. A host that is down has no node.
type host struct {
	id      uint64
	node    *Node
	storage *MemoryStorage
	applied []*raftpb.Entry
	reads   []Read
}

// cluster runs replicas in one goroutine. Its network delivers messages in order unless a test interferes.
type cluster struct {
	t       testing.TB
	hosts   map[uint64]*host
	network []*raftpb.Message
	// isBlocked decides whether a message is lost.
	isBlocked func(m *raftpb.Message) bool
	random    func(n int) int
}

func memberOf(id uint64) *raftpb.Member {
	return &raftpb.Member{Id: id, Name: fmt.Sprintf("replica-%d", id)}
}

func newCluster(t testing.TB, size int) *cluster {
	seed := uint32(1)
	c := &cluster{t: t, hosts: map[uint64]*host{}, isBlocked: func(*raftpb.Message) bool { return false }}
	c.random = func(n int) int {
		seed = seed*1664525 + 1013904223
		return int(seed>>16) % n
	}
	var members []*raftpb.Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, memberOf(id))
	}
	for _, m := range members {
		c.add(m.Id, BootstrapSnapshot(members, nil))
	}
	return c
}

func (c *cluster) add(id uint64, s *raftpb.Snapshot) *host {
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
		c.t.Fatalf("start of %d: %v", h.id, err)
	}
	h.node, h.applied, h.reads = node, nil, nil
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// run handles everything that a replica has to do.
func (c *cluster) run(h *host) {
	for h.node != nil && h.node.HasReady() {
		r := h.node.Ready()
		if err := r.Save(h.storage); err != nil {
			c.t.Fatalf("save on %d: %v", h.id, err)
		}
		c.network = append(c.network, r.Messages...)
		h.applied = append(h.applied, r.Committed...)
		h.reads = append(h.reads, r.Reads...)
		h.node.Advance(r)
	}
	if h.node != nil && h.node.Err() != nil {
		c.t.Fatalf("replica %d: %v", h.id, h.node.Err())
	}
}

// settle delivers messages until there are none.
func (c *cluster) settle() {
	for {
		for _, id := range c.ids() {
			c.run(c.hosts[id])
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
	if h == nil || h.node == nil || c.isBlocked(m) {
		return
	}
	if err := h.node.Step(m); err != nil {
		c.t.Fatalf("step on %d: %v", m.To, err)
	}
	c.run(h)
}

func (c *cluster) tick(n int) {
	for range n {
		for _, id := range c.ids() {
			if h := c.hosts[id]; h.node != nil {
				h.node.Tick()
			}
		}
		c.settle()
	}
}

// leader waits for a leader that a majority follows.
func (c *cluster) leader() *host {
	c.t.Helper()
	for range 200 {
		c.tick(1)
		for _, id := range c.ids() {
			h := c.hosts[id]
			if h.node != nil && h.node.role == Leader && h.node.hasCommittedInTerm() && !c.isCutOff(id) {
				return h
			}
		}
	}
	c.t.Fatal("no leader after 200 ticks")
	return nil
}

func (c *cluster) isCutOff(id uint64) bool {
	return c.isBlocked(&raftpb.Message{From: id, To: 0}) || c.isBlocked(&raftpb.Message{From: 0, To: id})
}

// cutOff loses all messages from and to the replicas.
func (c *cluster) cutOff(ids ...uint64) {
	c.isBlocked = func(m *raftpb.Message) bool {
		return slices.Contains(ids, m.From) || slices.Contains(ids, m.To)
	}
}

func (c *cluster) propose(h *host, data string) {
	c.t.Helper()
	if err := h.node.Propose([]byte(data)); err != nil {
		c.t.Fatal(err)
	}
	c.settle()
}

func (h *host) data() []string {
	var all []string
	for _, e := range h.applied {
		if e.Type == raftpb.EntryType_ENTRY_DATA && len(e.Data) > 0 {
			all = append(all, string(e.Data))
		}
	}
	return all
}
