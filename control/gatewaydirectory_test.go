package control

import (
	"slices"
	"testing"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
)

func gatewayStatus(name string, incarnation, revision uint64) *controlpb.GatewayStatus {
	return &controlpb.GatewayStatus{Name: name, Incarnation: incarnation, Revision: revision}
}

// Guards against reporting a revision as in force while a gateway may still serve an older one: a gateway that reports
// an older revision, a gateway whose replica has not reported since it applied the revision, or a gateway that moved
// between replicas.
func TestInForceRequiresEveryReplicaAndGateway(t *testing.T) {
	start := time.Now()
	replicas := []uint64{1, 2}
	report := func(id, revision uint64, gateways ...*controlpb.GatewayStatus) *controlpb.ReplicaReport {
		return &controlpb.ReplicaReport{Id: id, Revision: revision, Version: 1, Gateways: gateways, AgesMs: make([]uint32, len(gateways))}
	}
	tests := []struct {
		name    string
		own     *controlpb.GatewayStatus
		other   *controlpb.ReplicaReport
		after   time.Duration
		inForce bool
		waiting []string
	}{
		{"all have it", gatewayStatus("a", 1, 5), report(2, 5, gatewayStatus("b", 1, 5)), 0, true, nil},
		{"other replica silent", gatewayStatus("a", 1, 5), nil, 0, false, nil},
		{"other replica reported before it applied", gatewayStatus("a", 1, 5), report(2, 4), 0, false, nil},
		{"gateway of the other replica behind", gatewayStatus("a", 1, 5), report(2, 5, gatewayStatus("b", 1, 4)), 0, false, []string{"b"}},
		{"own gateway behind", gatewayStatus("a", 1, 4), report(2, 5), 0, false, []string{"a"}},
		{"lease of the gateway ran out", gatewayStatus("a", 1, 4), report(2, 5), api.ConfigurationLease + api.LeaseMargin, true, nil},
		{"moved here with the revision", gatewayStatus("b", 1, 5), report(2, 5, gatewayStatus("b", 1, 4)), 0, true, nil},
		{"restarted without a configuration", gatewayStatus("b", 2, 0), report(2, 5, gatewayStatus("b", 1, 5)), 0, false, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newGatewayDirectory(1, start.Add(-time.Hour))
			d.recordRenewal(tt.own, start)
			if tt.other != nil {
				d.applyReport(&reportStream{}, tt.other, start)
			}
			now := start.Add(tt.after)
			d.refresh(5, nil, now)
			inForce, waiting := d.checkInForce(5, replicas, now)
			if inForce != tt.inForce || !slices.Equal(waiting, tt.waiting) {
				t.Fatalf("in force %v, waiting for %v; want %v, %v", inForce, waiting, tt.inForce, tt.waiting)
			}
		})
	}
}

// Guards against gateways that lose their peers' addresses during a short network partition, and against lists that
// never shrink.
func TestDirectoryRetainsSilentGateways(t *testing.T) {
	start := time.Now()
	d := newGatewayDirectory(1, start.Add(-time.Hour))
	d.recordRenewal(gatewayStatus("a", 1, 5), start)
	for _, tt := range []struct {
		after  time.Duration
		listed int
	}{{api.ConfigurationLease * 2, 1}, {gatewayListRetention + time.Second, 0}} {
		now := start.Add(tt.after)
		d.refresh(5, nil, now)
		if got := len(d.gatewayStatuses(now)); got != tt.listed {
			t.Fatalf("%d gateways listed after %v, want %d", got, tt.after, tt.listed)
		}
	}
}

// Guards against a replica that lost its disk and is added again while its old identity still counts towards the quorum.
func TestJoinRemovesOldIdentityFirst(t *testing.T) {
	membership := &raftpb.Membership{Members: []*raftpb.Member{{Id: 1, Name: "c1"}, {Id: 2, Name: "c2"}}}
	joining := &raftpb.Member{Id: 9, Name: "c2"}
	change := nextJoinChange(membership, joining)
	if change.Type != raftpb.MembershipChangeType_MEMBERSHIP_REMOVE || change.Member.Id != 2 {
		t.Fatalf("first change: %v, want removal of replica 2", change)
	}
	membership.Members = membership.Members[:1]
	change = nextJoinChange(membership, joining)
	if change.Type != raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER || change.Member.Id != 9 {
		t.Fatalf("second change: %v, want replica 9 as a learner", change)
	}
	membership.Members = append(membership.Members, joining)
	if change := nextJoinChange(membership, joining); change != nil {
		t.Fatalf("change for a member: %v, want none", change)
	}
}

// Guards against gateways that do not learn that another one can no longer be a relay, and against a list that is sent again
// whenever a gateway without a relay listener drains.
func TestRelayStateChangesTheDigest(t *testing.T) {
	now := time.Now()
	d := newGatewayDirectory(1, now)
	digestOf := func(s *controlpb.GatewayStatus) uint64 {
		s.Name, s.Incarnation = "a", 1
		d.recordRenewal(s, now)
		digest, _ := d.gatewaysIfChanged(0, now)
		return digest
	}
	relay := "10.0.0.1:7000"
	usable := digestOf(&controlpb.GatewayStatus{RelayAddress: relay})
	for _, s := range []*controlpb.GatewayStatus{{}, {RelayAddress: relay, Draining: true}, {RelayAddress: relay, ServersUnreachable: true}} {
		if digestOf(s) == usable {
			t.Errorf("%v has the digest of a usable relay", s)
		}
	}
	if digestOf(&controlpb.GatewayStatus{}) != digestOf(&controlpb.GatewayStatus{Draining: true}) {
		t.Error("draining changes the digest of a gateway without a relay listener")
	}
}
