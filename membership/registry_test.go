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

// backend is a backend server as section 5.4 describes it.
type backend struct {
	record     *gossippb.Server
	owner      int
	grant      uint64
	lastAnswer time.Duration
	announced  bool
	gone       bool
	// drainedAt is when a gateway learnt that the server drains; 0 if it does not drain or nobody knows.
	drainedAt time.Duration
}

// network carries messages that are lost, repeated and reordered.
type network struct {
	t        *rapid.T
	now      time.Duration
	gateways []*Registry
	starts   []uint64
	servers  []*backend
	// mail holds deliveries that wait; each one may happen never, once or twice.
	mail []func()
	// left holds the incarnations that a registry knows to have left, by address.
	left map[*Registry]map[string]uint64
}

func newNetwork(t *rapid.T, gateways, servers int) *network {
	n := &network{t: t, now: time.Second, left: map[*Registry]map[string]uint64{}}
	for i := range gateways {
		n.starts = append(n.starts, 1)
		n.gateways = append(n.gateways, New(gatewayName(i), 1))
	}
	for i := range servers {
		r := &gossippb.Server{Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: 1, Sequence: 1, State: cold}
		n.servers = append(n.servers, &backend{record: r, owner: i % gateways})
	}
	return n
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

func (n *network) server() *backend {
	return n.servers[rapid.IntRange(0, len(n.servers)-1).Draw(n.t, "server")]
}

func (n *network) gateway() int { return rapid.IntRange(0, len(n.gateways)-1).Draw(n.t, "gateway") }

// renew sends one announcement or renewal; its delivery and the delivery of the answer wait in the mail.
func (n *network) renew() { n.renewServer(n.server()) }

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
	owner, first := b.owner, !b.announced
	process := n.gateways[owner]
	n.mail = append(n.mail, func() {
		// A connection ends with the process at its end, so a gateway that has restarted gets no earlier announcement.
		if n.gateways[owner] == process {
			n.deliver(b, a, owner, first)
		}
	})
}

func (n *network) deliver(b *backend, a Announcement, owner int, first bool) {
	call := n.gateways[owner].Renew
	if first {
		call = n.gateways[owner].Announce
	}
	answer, err := call(n.now, a)
	newest := a.Server.Incarnation == b.record.Incarnation && a.Server.Sequence == b.record.Sequence
	if err == nil && newest && a.Server.State == draining && b.drainedAt == 0 {
		b.drainedAt = n.now
	}
	n.mail = append(n.mail, func() {
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
	b := n.server()
	b.record.State = rapid.SampledFrom([]gossippb.ServerState{ready, cold, draining}).Draw(n.t, "state")
	b.record.Sequence++
	b.drainedAt = 0
}

func (n *network) restartServer() {
	b := n.server()
	b.drainedAt = 0
	b.record.Incarnation++
	b.record.Sequence, b.record.State = 1, cold
	b.announced, b.grant, b.gone = false, 0, false
	b.owner = n.gateway()
	b.lastAnswer = n.now
}

func (n *network) leave() {
	b := n.server()
	if b.gone {
		return
	}
	b.gone = true
	b.record.Sequence++
	record, g := proto.CloneOf(b.record), n.gateway()
	n.mail = append(n.mail, func() { n.gateways[g].Leave(n.now, record) })
}

func (n *network) restartGateway() {
	g := n.gateway()
	n.starts[g]++
	n.gateways[g] = New(gatewayName(g), n.starts[g])
}

func (n *network) exchange() { n.exchangeBetween(n.gateway(), n.gateway()) }

func (n *network) exchangeBetween(from, to int) {
	if from == to {
		return
	}
	sender, sent := n.gateways[from], n.now
	opening := sender.StartExchange(n.now)
	n.request(from, to, opening.Request, func(answer *gossippb.ExchangeAnswer) {
		if !answer.Differs {
			sender.MergeAnswer(n.now, sent, opening.ExpandAnswer(answer))
			return
		}
		again := n.now
		n.request(from, to, sender.DigestRequest(again), func(answer *gossippb.ExchangeAnswer) { sender.MergeAnswer(n.now, again, answer) })
	})
}

// request passes the answer to take unless the sender has restarted.
func (n *network) request(from, to int, q *gossippb.ExchangeRequest, take func(*gossippb.ExchangeAnswer)) {
	sender := n.gateways[from]
	n.mail = append(n.mail, func() {
		limit := math.MaxInt
		if to%2 == 1 {
			limit = 1 // one owner in an answer
		}
		answer := n.gateways[to].HandleRequestWithLimit(n.now, q, limit)
		n.mail = append(n.mail, func() {
			if n.gateways[from] == sender {
				take(answer)
			}
		})
	})
}

// push sends the changes of one gateway to all others; each copy may be lost.
func (n *network) push() {
	g := n.gateway()
	q := n.gateways[g].PushRequest()
	for i := range n.gateways {
		if i != g {
			n.mail = append(n.mail, func() { n.gateways[i].HandleRequest(n.now, q) })
		}
	}
}

func (n *network) fallback() {
	b := n.server()
	g := n.gateways[n.gateway()]
	owner, request := g.FallbackRequest(b.record.Address, b.record.Incarnation)
	if request == nil {
		return
	}
	n.mail = append(n.mail, func() {
		for i := range n.gateways {
			if gatewayName(i) == owner {
				n.gateways[i].HandleRequest(n.now, request)
			}
		}
	})
}

// carry delivers one waiting message, in any order; it may stay to be delivered again, or be lost.
func (n *network) carry() {
	if len(n.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.mail)-1).Draw(n.t, "message")
	fate := rapid.IntRange(0, 5).Draw(n.t, "fate")
	message := n.mail[i]
	if fate != 0 {
		n.mail = append(n.mail[:i:i], n.mail[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

func (n *network) pass() {
	n.now += time.Duration(rapid.IntRange(1, 1500).Draw(n.t, "ms")) * time.Millisecond
	for _, g := range n.gateways {
		g.Tick(n.now)
	}
}

// check asserts what must hold at any time.
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

// checkSummary asserts that equal summaries hide no record that a digest would have brought.
func (n *network) checkSummary(g, other *Registry) {
	digest := other.Digest(n.now)
	if g == other || g.summary(g.Digest(n.now)) != other.summary(digest) {
		return
	}
	for _, s := range g.MissingRecords(digest) {
		if rec := other.records[s.Address]; rec == nil || !proto.Equal(rec.server, s) {
			n.t.Fatalf("%s and %s have equal summaries, but only one has %v", g.self, other.self, s)
		}
	}
}

// checkLeft asserts that a registry never again lists an incarnation that it knew to have left.
func (n *network) checkLeft(g *Registry, address string) {
	rec := g.records[address]
	if n.left[g] == nil {
		n.left[g] = map[string]uint64{}
	}
	if rec != nil && rec.left() {
		n.left[g][address] = max(n.left[g][address], rec.server.Incarnation)
	}
	if s, ok := g.Server(address); ok && s.Record.Incarnation <= n.left[g][address] {
		n.t.Fatalf("%s lists incarnation %d of %s, which left", g.self, s.Record.Incarnation, address)
	}
}

// checkDrained asserts that no evidence is younger than the time at which a gateway learnt that the server drains, so
// each gateway stops within EvidenceLifetime of it.
func (n *network) checkDrained(g *Registry, b *backend) {
	rec := g.records[b.record.Address]
	if b.drainedAt > 0 && rec != nil && rec.hasEvidence && rec.evidence > b.drainedAt {
		n.t.Fatalf("%s has evidence of %v for %s, which drains since %v", g.self, rec.evidence, b.record.Address, b.drainedAt)
	}
}

// settle runs without faults until all know the same, and reports whether they do.
func (n *network) settle() bool {
	n.mail = nil
	for _, b := range n.servers {
		if b.gone {
			n.gateways[b.owner].Leave(n.now, b.record)
		}
	}
	n.operate(60, nil, false)
	return n.agreed()
}

// operate runs for some rounds of half a second without faults, apart from gateways that are cut off and answers to
// servers that are lost.
func (n *network) operate(rounds int, cut map[int]bool, answersLost bool) {
	for range rounds {
		n.now += RenewInterval / 2
		mail := n.mail
		n.mail = nil
		for _, b := range n.servers {
			if !cut[b.owner] {
				n.renewServer(b)
			}
		}
		n.deliverAll(answersLost)
		for i := range n.gateways {
			if next := (i + 1) % len(n.gateways); !cut[i] && !cut[next] {
				n.exchangeBetween(i, next)
			}
		}
		n.deliverAll(false)
		n.mail = append(n.mail, mail...)
		for _, g := range n.gateways {
			g.Tick(n.now)
		}
		n.check()
	}
}

// deliverAll delivers what waits, and the answers to it unless they are lost.
func (n *network) deliverAll(answersLost bool) {
	for len(n.mail) > 0 {
		messages := n.mail
		n.mail = nil
		for _, message := range messages {
			message()
			n.check()
		}
		if answersLost {
			n.mail = nil
		}
	}
}

// operateWithFaults cuts gateways off or loses answers for up to 6 s.
func (n *network) operateWithFaults() {
	cut := map[int]bool{}
	for i := range n.gateways {
		cut[i] = rapid.IntRange(0, 3).Draw(n.t, "cut") == 0
	}
	n.operate(rapid.IntRange(1, 12).Draw(n.t, "rounds"), cut, rapid.IntRange(0, 2).Draw(n.t, "lost") == 0)
}

func (n *network) agreed() bool {
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

// Guards against two owners' rights at once, resurrection of servers that left, and registries that stay different,
// under loss, repetition, reordering and restarts.
func TestRegistriesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, 3, 3)
		steps := []func(){
			n.renew, n.renew, n.renew, n.carry, n.carry, n.carry, n.carry, n.carry, n.carry, n.exchange, n.exchange, n.push,
			n.pass, n.pass, n.changeState, n.restartServer, n.leave, n.restartGateway, n.fallback,
			n.operateWithFaults, n.operateWithFaults, n.operateWithFaults, n.operateWithFaults,
		}
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 1, 60).Draw(t, "steps") {
			steps[s]()
			n.check()
		}
		if !n.settle() {
			t.Fatal("the registries differ after 30 s without faults")
		}
	})
}

// Guards against a server that comes back because a gateway that has not heard of its leaving took an announcement.
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

// BenchmarkExchange measures one exchange at the target sizes: 870 servers at 60 gateways.
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

// Guards against a restarted gateway that never learns the whole state because one answer exceeds the budget.
func TestStateArrivesInLimitedAnswers(t *testing.T) {
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
		ask(peer, owner, now, 0)
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

// ask lets one registry ask another; the answer arrives after a delay.
func ask(from, to *Registry, sent, delay time.Duration) {
	opening := from.StartExchange(sent)
	answer := to.HandleRequest(sent, opening.Request)
	if answer.Differs {
		answer = to.HandleRequest(sent, from.DigestRequest(sent))
	} else {
		answer = opening.ExpandAnswer(answer)
	}
	from.MergeAnswer(sent+delay, sent, answer)
}

// announceAt announces a ready server at a registry.
func announceAt(t *testing.T, r *Registry, now time.Duration, sequence uint64) {
	t.Helper()
	s := &gossippb.Server{Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Sequence: sequence}
	if _, err := r.Announce(now, Announcement{Server: s}); err != nil {
		t.Fatal(err)
	}
}

// Guards against evidence that seems younger than the owner's heartbeat: because an answer was under way, or because
// another gateway passed the heartbeat on.
func TestEvidenceKeepsItsAge(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	ask(b, a, time.Second, 300*time.Millisecond)
	ask(c, b, 2*time.Second, 400*time.Millisecond)
	for _, r := range []*Registry{b, c} {
		if s, ok := r.Server("10.0.0.1:80"); !ok || s.EvidenceAt != time.Second {
			t.Errorf("%s: evidence %v, want 1s", r.self, s.EvidenceAt)
		}
	}
	ask(b, a, 3*time.Second, 0)
	ask(a, b, 3*time.Second, 0)
	ask(a, c, 3*time.Second, 0)
	if a.summary(a.Digest(0)) != b.summary(b.Digest(0)) {
		t.Fatal("the summaries differ")
	}
	ask(b, a, 4*time.Second, 300*time.Millisecond)
	if s, _ := b.Server("10.0.0.1:80"); s.EvidenceAt != 4*time.Second {
		t.Errorf("evidence %v by an equal summary, want 4s", s.EvidenceAt)
	}
}

// Guards against an exchange that grows by more than 2 bytes an owner while nothing differs, and against ages of an
// answer that is not one to the opening.
func TestEqualSummaryIsSmall(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	for i := range 58 {
		ask(a, New(gatewayName(i), 1), time.Second, 0)
	}
	ask(b, a, time.Second, 0)
	ask(a, b, time.Second, 0)
	opening := b.StartExchange(2 * time.Second)
	answer := a.HandleRequest(2*time.Second, opening.Request)
	if size := proto.Size(opening.Request) + proto.Size(answer); answer.Differs || size > 2*60+20 {
		t.Errorf("exchange of %d bytes: %v", size, answer)
	}
	if other := New("c", 1).StartExchange(time.Second).ExpandAnswer(answer); len(other.Digest) != 0 {
		t.Errorf("an answer of %d ages told a gateway that knows one owner %v", len(answer.Ages), other)
	}
}

// Guards against the heartbeat of an owner that has restarted vouching for servers that it no longer knows.
func TestRestartedOwnerDoesNotVouch(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	ask(b, a, time.Second, 0)
	a = New("a", 2)
	ask(b, a, 2*time.Second, 0)
	ask(c, b, 3*time.Second, 0)
	if s, _ := b.Server("10.0.0.1:80"); s.EvidenceAt != time.Second {
		t.Errorf("b: evidence %v, want 1s", s.EvidenceAt)
	}
	if s, ok := c.Server("10.0.0.1:80"); ok {
		t.Errorf("c lists the server with evidence %v", s.EvidenceAt)
	}
}

// Guards against an old record that seems current because its owner's table no longer lists the server.
func TestMovedServerReplacesOldRecord(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	announceAt(t, a, time.Second, 1)
	ask(b, a, time.Second, 0)
	ask(c, a, time.Second, 0)
	announceAt(t, b, 2*time.Second, 2)
	ask(c, b, 2*time.Second, 0)
	ask(a, b, 2*time.Second, 0)
	delta := c.MissingRecords([]*gossippb.OwnerDigest{{Owner: "b", Incarnation: 1, Version: 1}, {Owner: "a", Incarnation: 1}})
	if len(delta) != 1 || delta[0].Owner != "b" {
		t.Fatalf("delta %v, want the record of owner b", delta)
	}
}
