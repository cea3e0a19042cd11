package membership

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/gossippb"
)

const (
	ready    = gossippb.ServerState_SERVER_READY
	cold     = gossippb.ServerState_SERVER_COLD
	draining = gossippb.ServerState_SERVER_DRAINING
)

// backend is a simulated backend server that follows the protocol of docs/design.md, section 5.4.
type backend struct {
	record     *gossippb.Server
	owner      int
	grant      uint64
	lastAnswer time.Duration
	announced  bool
	gone       bool
	// drainedAt is when a gateway first learned that the server is draining; 0 if it is not, or no gateway knows yet.
	drainedAt time.Duration
}

// network simulates gateways, backend servers and the messages between them, which may be lost, repeated and reordered.
type network struct {
	t            *rapid.T
	now          time.Duration
	gateways     []*Registry
	incarnations []uint64
	servers      []*backend
	// pending holds the messages in flight as functions that deliver them. Each may be delivered several times or never.
	pending []func()
	// leftIncarnations holds, by registry and address, the highest incarnation that the registry knew to have left.
	leftIncarnations map[*Registry]map[string]uint64
}

func newNetwork(t *rapid.T, gateways, servers int) *network {
	n := &network{t: t, now: time.Second, leftIncarnations: map[*Registry]map[string]uint64{}}
	for i := range gateways {
		n.incarnations = append(n.incarnations, 1)
		n.gateways = append(n.gateways, New(gatewayName(i), 1))
	}
	for i := range servers {
		r := &gossippb.Server{Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: 1, Sequence: 1, State: cold}
		n.servers = append(n.servers, &backend{record: r, owner: i % gateways})
	}
	return n
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

func (n *network) randomServer() *backend {
	return n.servers[rapid.IntRange(0, len(n.servers)-1).Draw(n.t, "server")]
}

func (n *network) randomGateway() int {
	return rapid.IntRange(0, len(n.gateways)-1).Draw(n.t, "gateway")
}

// renewRandomServer sends an announcement or renewal of a random server.
func (n *network) renewRandomServer() { n.renewServer(n.randomServer()) }

// renewServer adds the announcement or renewal of a server to the messages in flight. A server without an answer for
// SwitchAfter first changes owner.
func (n *network) renewServer(b *backend) {
	if b.gone {
		return
	}
	if n.now-b.lastAnswer > SwitchAfter {
		b.announced = false
		b.owner = (b.owner + 1) % len(n.gateways)
		b.record.Sequence++
		b.grant = 0
		b.lastAnswer = n.now
	}
	a := Announcement{Server: proto.CloneOf(b.record), Grant: b.grant}
	owner, announce := b.owner, !b.announced
	registry := n.gateways[owner]
	n.pending = append(n.pending, func() {
		// A connection ends when the gateway restarts, so the new process does not receive earlier announcements.
		if n.gateways[owner] == registry {
			n.callOwner(b, a, owner, announce)
		}
	})
}

// callOwner delivers an announcement or renewal, and adds its answer to the messages in flight.
func (n *network) callOwner(b *backend, a Announcement, owner int, announce bool) {
	call := n.gateways[owner].Renew
	if announce {
		call = n.gateways[owner].Announce
	}
	answer, err := call(n.now, a)
	newest := a.Server.Incarnation == b.record.Incarnation && a.Server.Sequence == b.record.Sequence
	if err == nil && newest && a.Server.State == draining && b.drainedAt == 0 {
		b.drainedAt = n.now
	}
	n.pending = append(n.pending, func() {
		if b.gone || b.owner != owner || b.record.Incarnation != a.Server.Incarnation || b.record.Sequence != a.Server.Sequence {
			return
		}
		var unknown *UnknownServerError
		if errors.As(err, &unknown) && b.announced {
			b.announced = false
			b.record.Sequence++
			b.grant = 0
		}
		if err == nil {
			b.announced, b.lastAnswer = true, n.now
			b.grant = max(b.grant, answer.Grant)
		}
	})
}

func (n *network) changeState() {
	b := n.randomServer()
	b.record.State = rapid.SampledFrom([]gossippb.ServerState{ready, cold, draining}).Draw(n.t, "state")
	b.record.Sequence++
	b.drainedAt = 0
}

func (n *network) restartServer() {
	b := n.randomServer()
	b.drainedAt = 0
	b.record.Incarnation++
	b.record.Sequence, b.record.State = 1, cold
	b.announced, b.grant, b.gone = false, 0, false
	b.owner = n.randomGateway()
	b.lastAnswer = n.now
}

func (n *network) leave() {
	b := n.randomServer()
	if b.gone {
		return
	}
	b.gone = true
	b.record.Sequence++
	record, g := proto.CloneOf(b.record), n.randomGateway()
	n.pending = append(n.pending, func() { n.gateways[g].Leave(n.now, record) })
}

func (n *network) restartGateway() {
	g := n.randomGateway()
	n.incarnations[g]++
	n.gateways[g] = New(gatewayName(g), n.incarnations[g])
}

func (n *network) exchangeAtRandom() { n.exchangeBetween(n.randomGateway(), n.randomGateway()) }

// exchangeBetween starts an exchange with a summary, followed by a request with a digest if the summaries differ.
func (n *network) exchangeBetween(from, to int) {
	if from == to {
		return
	}
	sender, sent := n.gateways[from], n.now
	exchange := sender.StartExchange(n.now)
	n.request(from, to, exchange.Request, func(answer *gossippb.ExchangeAnswer) {
		if !answer.Differs {
			sender.MergeAnswer(n.now, sent, exchange.ExpandAnswer(answer))
			return
		}
		retrySent := n.now
		n.request(from, to, sender.DigestRequest(retrySent), func(answer *gossippb.ExchangeAnswer) {
			sender.MergeAnswer(n.now, retrySent, answer)
		})
	})
}

// request adds a request to the messages in flight, and later its answer. onAnswer gets the answer unless the sender has
// restarted. Gateways with odd numbers limit their answers to the records of one owner.
func (n *network) request(from, to int, q *gossippb.ExchangeRequest, onAnswer func(*gossippb.ExchangeAnswer)) {
	sender := n.gateways[from]
	n.pending = append(n.pending, func() {
		limit := math.MaxInt
		if to%2 == 1 {
			limit = 1 // byte, so each answer holds the records of one owner
		}
		answer := n.gateways[to].HandleRequestWithLimit(n.now, q, limit)
		n.pending = append(n.pending, func() {
			if n.gateways[from] == sender {
				onAnswer(answer)
			}
		})
	})
}

// push sends the changes of one gateway to all others; each copy may be lost.
func (n *network) push() {
	g := n.randomGateway()
	q := n.gateways[g].PushRequest()
	for i := range n.gateways {
		if i != g {
			n.pending = append(n.pending, func() { n.gateways[i].HandleRequest(n.now, q) })
		}
	}
}

// reportFallback sends a random gateway's report to the owner that a server has fallen back into cold start.
func (n *network) reportFallback() {
	b := n.randomServer()
	g := n.gateways[n.randomGateway()]
	owner, request := g.FallbackRequest(b.record.Address, b.record.Incarnation)
	if request == nil {
		return
	}
	n.pending = append(n.pending, func() {
		for i := range n.gateways {
			if gatewayName(i) == owner {
				n.gateways[i].HandleRequest(n.now, request)
			}
		}
	})
}

// deliverOne picks a random message in flight and delivers it, delivers it but keeps it for another delivery, or drops it.
func (n *network) deliverOne() {
	if len(n.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.pending)-1).Draw(n.t, "message")
	fate := rapid.IntRange(0, 5).Draw(n.t, "fate")
	message := n.pending[i]
	if fate != 0 {
		n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

func (n *network) advanceTime() {
	n.now += time.Duration(rapid.IntRange(1, 1500).Draw(n.t, "ms")) * time.Millisecond
	for _, g := range n.gateways {
		g.Tick(n.now)
	}
}

// check asserts the invariants of the protocol.
func (n *network) check() {
	for _, b := range n.servers {
		rights := 0
		for _, g := range n.gateways {
			s, ok := g.Server(b.record.Address)
			if ok && s.Owned && n.now < s.SendUntil {
				rights++
			}
			n.checkLeft(g, b.record.Address)
			n.checkDrained(g, b)
		}
		if rights > 1 {
			n.t.Fatalf("%d gateways may send to the cold server %s", rights, b.record.Address)
		}
	}
	for _, g := range n.gateways {
		for _, other := range n.gateways {
			n.checkSummary(g, other)
		}
	}
}

// checkSummary asserts that gateways with equal summaries lack no record that an exchange of digests would transfer.
func (n *network) checkSummary(g, other *Registry) {
	digest := other.Digest(n.now)
	if g == other || g.hashDigest(g.Digest(n.now)) != other.hashDigest(digest) {
		return
	}
	for _, s := range g.MissingRecords(digest) {
		if rec := other.records[s.Address]; rec == nil || !proto.Equal(rec.server, s) {
			n.t.Fatalf("%s and %s have equal summaries, but only one has %v", g.self, other.self, s)
		}
	}
}

// checkLeft asserts that a registry does not list an incarnation that it knows, or has known, to have left.
func (n *network) checkLeft(g *Registry, address string) {
	rec := g.records[address]
	if n.leftIncarnations[g] == nil {
		n.leftIncarnations[g] = map[string]uint64{}
	}
	if rec != nil && rec.hasLeft() {
		n.leftIncarnations[g][address] = max(n.leftIncarnations[g][address], rec.server.Incarnation)
	}
	if s, ok := g.Server(address); ok && s.Record.Incarnation <= n.leftIncarnations[g][address] {
		n.t.Fatalf("%s lists incarnation %d of %s, which left", g.self, s.Record.Incarnation, address)
	}
}

// checkDrained asserts that no evidence is newer than the time at which a gateway first learned that the server is draining,
// so that each gateway stops sending within EvidenceLifetime of that time.
func (n *network) checkDrained(g *Registry, b *backend) {
	rec := g.records[b.record.Address]
	if b.drainedAt > 0 && rec != nil && rec.hasEvidence && rec.evidenceAt > b.drainedAt {
		n.t.Fatalf("%s has evidence of %v for %s, which drains since %v", g.self, rec.evidenceAt, b.record.Address, b.drainedAt)
	}
}

// converge runs 60 rounds without faults, and reports whether all registries have the same, current state.
func (n *network) converge() bool {
	n.pending = nil
	for _, b := range n.servers {
		if b.gone {
			n.gateways[b.owner].Leave(n.now, b.record)
		}
	}
	n.runRounds(60, nil, false)
	return n.hasConverged()
}

// runRounds runs rounds of half a second. The only faults are that isolated gateways exchange no messages and, if
// answersLost is set, that the answers to servers are lost.
func (n *network) runRounds(rounds int, isolated map[int]bool, answersLost bool) {
	for range rounds {
		n.now += RenewInterval / 2
		earlier := n.pending
		n.pending = nil
		for _, b := range n.servers {
			if !isolated[b.owner] {
				n.renewServer(b)
			}
		}
		n.deliverAll(answersLost)
		for i := range n.gateways {
			if next := (i + 1) % len(n.gateways); !isolated[i] && !isolated[next] {
				n.exchangeBetween(i, next)
			}
		}
		n.deliverAll(false)
		n.pending = append(n.pending, earlier...)
		for _, g := range n.gateways {
			g.Tick(n.now)
		}
		n.check()
	}
}

// deliverAll delivers all messages in flight, and the answers to them unless answersLost is set.
func (n *network) deliverAll(answersLost bool) {
	for len(n.pending) > 0 {
		messages := n.pending
		n.pending = nil
		for _, message := range messages {
			message()
			n.check()
		}
		if answersLost {
			n.pending = nil
		}
	}
}

// runRoundsWithFaults isolates random gateways, and in a third of the cases loses the answers to servers, for up to 6 s.
func (n *network) runRoundsWithFaults() {
	isolated := map[int]bool{}
	for i := range n.gateways {
		isolated[i] = rapid.IntRange(0, 3).Draw(n.t, "isolated") == 0
	}
	n.runRounds(rapid.IntRange(1, 12).Draw(n.t, "rounds"), isolated, rapid.IntRange(0, 2).Draw(n.t, "lost") == 0)
}

// hasConverged reports whether every registry lists exactly the running servers with their current records, and has recent
// evidence of exactly those that are not draining. A draining server need not be listed.
func (n *network) hasConverged() bool {
	for _, b := range n.servers {
		for _, g := range n.gateways {
			s, ok := g.Server(b.record.Address)
			leaving := b.record.State == draining
			if ok == b.gone && !leaving {
				n.t.Logf("%s: %s listed %v, gone %v", g.self, b.record.Address, ok, b.gone)
				return false
			}
			if ok && (s.Record.Incarnation != b.record.Incarnation || s.Record.Sequence != b.record.Sequence) {
				n.t.Logf("%s: %s has %v, server is at %v", g.self, b.record.Address, s.Record, b.record)
				return false
			}
			fresh := ok && n.now-s.EvidenceAt < EvidenceLifetime
			if ok && fresh == leaving {
				n.t.Logf("%s: %s evidence %v at %v", g.self, b.record.Address, s.EvidenceAt, n.now)
				return false
			}
		}
	}
	return true
}

// Guards against two gateways that may send to a cold server at once, servers that are listed again after they left, and
// registries that do not converge, under message loss, repetition, reordering and restarts.
func TestRegistriesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, 3, 3)
		steps := []func(){
			n.renewRandomServer, n.renewRandomServer, n.renewRandomServer,
			n.deliverOne, n.deliverOne, n.deliverOne, n.deliverOne, n.deliverOne, n.deliverOne,
			n.exchangeAtRandom, n.exchangeAtRandom, n.push, n.advanceTime, n.advanceTime,
			n.changeState, n.restartServer, n.leave, n.restartGateway, n.reportFallback,
			n.runRoundsWithFaults, n.runRoundsWithFaults, n.runRoundsWithFaults, n.runRoundsWithFaults,
		}
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 1, 60).Draw(t, "steps") {
			steps[s]()
			n.check()
		}
		if !n.converge() {
			t.Fatal("the registries differ after 30 s without faults")
		}
	})
}

// Guards against a server that is listed again because a gateway that does not know yet that the server left accepts an
// announcement.
func TestLeftIsFinal(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	s := &gossippb.Server{Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Sequence: 3}
	if err := a.Leave(time.Second, s); err != nil {
		t.Fatal(err)
	}
	later := proto.CloneOf(s)
	later.Sequence = 4
	if _, err := b.Announce(time.Second, Announcement{Server: later}); err != nil {
		t.Fatal(err)
	}
	b.MergeAnswer(time.Second, time.Second, a.HandleRequest(time.Second, b.DigestRequest(time.Second)))
	a.MergeAnswer(time.Second, time.Second, b.HandleRequest(time.Second, a.DigestRequest(time.Second)))
	if len(a.Servers())+len(b.Servers()) != 0 {
		t.Fatalf("still listed: %v %v", a.Servers(), b.Servers())
	}
	var left *LeftError
	if _, err := a.Announce(2*time.Second, Announcement{Server: later}); !errors.As(err, &left) {
		t.Fatalf("got %v, want *LeftError", err)
	}
}

// BenchmarkExchange measures one exchange at the target size: 870 servers at 60 gateways.
func BenchmarkExchange(b *testing.B) {
	const gateways, servers = 60, 870
	a, peer := New("a", 1), New("b", 1)
	for i := range servers {
		owner := New(gatewayName(i%gateways), 1)
		s := &gossippb.Server{Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: 1, Sequence: 1}
		if _, err := owner.Announce(time.Second, Announcement{Server: s}); err != nil {
			b.Fatal(err)
		}
		peer.MergeAnswer(time.Second, time.Second, owner.HandleRequest(time.Second, peer.DigestRequest(time.Second)))
	}
	now := time.Second
	for b.Loop() {
		now += time.Millisecond
		a.MergeAnswer(now, now, peer.HandleRequest(now, a.DigestRequest(now)))
		a.Tick(now)
	}
}

// Guards against a restarted gateway that never gets the whole state because the state exceeds the size limit of one answer.
func TestLimitedAnswersTransferWholeState(t *testing.T) {
	const gateways, servers, limit = 60, 870, 6000
	peer, restarted, now := New("peer", 1), New("restarted", 1), time.Second
	for i := range gateways {
		owner := New(gatewayName(i), 1)
		for j := i; j < servers; j += gateways {
			s := &gossippb.Server{Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", j/250, j%250), Incarnation: 1, Sequence: 1}
			if _, err := owner.Announce(now, Announcement{Server: s}); err != nil {
				t.Fatal(err)
			}
		}
		exchangeOnce(peer, owner, now, 0)
	}
	exchanges := 0
	for ; len(restarted.Servers()) < servers; exchanges++ {
		answer := peer.HandleRequestWithLimit(now, restarted.DigestRequest(now), limit)
		size := 0
		for _, s := range answer.Servers {
			size += proto.Size(s)
		}
		if size > limit || exchanges > gateways {
			t.Fatalf("exchange %d: %d bytes of records, %d servers known", exchanges, size, len(restarted.Servers()))
		}
		restarted.MergeAnswer(now, now, answer)
	}
	t.Logf("%d exchanges", exchanges)
}

// exchangeOnce runs an exchange that one registry starts with another; the answer arrives after a delay.
func exchangeOnce(from, to *Registry, sent, delay time.Duration) {
	exchange := from.StartExchange(sent)
	answer := to.HandleRequest(sent, exchange.Request)
	if answer.Differs {
		answer = to.HandleRequest(sent, from.DigestRequest(sent))
	} else {
		answer = exchange.ExpandAnswer(answer)
	}
	from.MergeAnswer(sent+delay, sent, answer)
}

// announceAt announces the ready server 10.0.0.1:80 to a registry.
func announceAt(t *testing.T, r *Registry, now time.Duration, sequence uint64) {
	t.Helper()
	s := &gossippb.Server{Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Sequence: sequence}
	if _, err := r.Announce(now, Announcement{Server: s}); err != nil {
		t.Fatal(err)
	}
}

// Guards against evidence that appears newer than the owner's heartbeat, because the time in transit is ignored or because
// another gateway passed the heartbeat on.
func TestEvidenceAgeIncludesTransit(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	exchangeOnce(b, a, time.Second, 300*time.Millisecond)
	exchangeOnce(c, b, 2*time.Second, 400*time.Millisecond)
	for _, r := range []*Registry{b, c} {
		if s, ok := r.Server("10.0.0.1:80"); !ok || s.EvidenceAt != time.Second {
			t.Errorf("%s: evidence %v, want 1s", r.self, s.EvidenceAt)
		}
	}
	exchangeOnce(b, a, 3*time.Second, 0)
	exchangeOnce(a, b, 3*time.Second, 0)
	exchangeOnce(a, c, 3*time.Second, 0)
	if a.hashDigest(a.Digest(0)) != b.hashDigest(b.Digest(0)) {
		t.Fatal("the summaries differ")
	}
	exchangeOnce(b, a, 4*time.Second, 300*time.Millisecond)
	if s, _ := b.Server("10.0.0.1:80"); s.EvidenceAt != 4*time.Second {
		t.Errorf("evidence %v by an equal summary, want 4s", s.EvidenceAt)
	}
}

// Guards against an exchange of equal summaries that takes more than 2 bytes per owner, and against ages that are taken from
// an answer to another request.
func TestEqualSummaryIsSmall(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	for i := range 58 {
		exchangeOnce(a, New(gatewayName(i), 1), time.Second, 0)
	}
	exchangeOnce(b, a, time.Second, 0)
	exchangeOnce(a, b, time.Second, 0)
	exchange := b.StartExchange(2 * time.Second)
	answer := a.HandleRequest(2*time.Second, exchange.Request)
	if size := proto.Size(exchange.Request) + proto.Size(answer); answer.Differs || size > 2*60+20 {
		t.Errorf("exchange of %d bytes: %v", size, answer)
	}
	if other := New("c", 1).StartExchange(time.Second).ExpandAnswer(answer); len(other.Digest) != 0 {
		t.Errorf("an answer of %d ages gave a gateway that knows one owner %v", len(answer.Ages), other)
	}
}

// Guards against a heartbeat of a restarted owner that counts as evidence of servers that the owner no longer knows.
func TestRestartedOwnerHeartbeatIsNoEvidence(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	exchangeOnce(b, a, time.Second, 0)
	a = New("a", 2)
	exchangeOnce(b, a, 2*time.Second, 0)
	exchangeOnce(c, b, 3*time.Second, 0)
	if s, _ := b.Server("10.0.0.1:80"); s.EvidenceAt != time.Second {
		t.Errorf("b: evidence %v, want 1s", s.EvidenceAt)
	}
	if s, ok := c.Server("10.0.0.1:80"); ok {
		t.Errorf("c lists the server with evidence %v", s.EvidenceAt)
	}
}

// Guards against an old record that is taken for current because its owner's table no longer contains the server.
func TestMovedServerReplacesOldRecord(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	exchangeOnce(b, a, time.Second, 0)
	exchangeOnce(c, a, time.Second, 0)
	announceAt(t, b, 2*time.Second, 2)
	exchangeOnce(c, b, 2*time.Second, 0)
	exchangeOnce(a, b, 2*time.Second, 0)
	delta := c.MissingRecords([]*gossippb.OwnerDigest{{Owner: "b", Incarnation: 1, Version: 1}, {Owner: "a", Incarnation: 1}})
	if len(delta) != 1 || delta[0].Owner != "b" {
		t.Fatalf("delta %v, want the record of owner b", delta)
	}
}
