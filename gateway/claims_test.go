package gateway

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/gossippb"
	"heatherwall.example/settings"
)

func quantile(times []time.Duration, percent int) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)*percent/100]
}

// followerStub is a replica that is not the leader and redirects claims to leader.
type followerStub struct {
	*controlStub
	leader string
}

func (s *followerStub) Claim(context.Context, *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, error) {
	return &controlpb.ClaimAnswer{Result: controlpb.ClaimResult_CLAIM_NOT_LEADER, LeaderAddress: s.leader}, nil
}

// Guards against claims that fail at a follower, and against reporting a claim as lost although no replica received it.
func TestClaimClientFollowsTheLeader(t *testing.T) {
	c := newCertificates(t)
	leader := startControl(t, c, "control-1", nil)
	follower := &followerStub{controlStub: &controlStub{}, leader: leader.address}
	followerAddress := serveControl(t, c, "control-2", follower, follower)
	id, err := loadIdentity("gw-1", settings.Listener{TLS: c.issue("gw-1")})
	must(t, err)
	newClient := func(replicas ...settings.Replica) *claimClient {
		open := newConnectionPool(dialPeers(id))
		t.Cleanup(open.close)
		return newClaimClient(replicas, func() map[string]string { return nil }, open)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	request := &controlpb.ClaimRequest{Region: "north", Key: []byte("key"), Holder: "gw-1/1/1"}
	first := settings.Replica{Name: "control-2", Region: "north", Address: followerAddress}
	for range 2 {
		a, _, err := newClient(first).Claim(ctx, request)
		if err != nil || a.GetResult() != controlpb.ClaimResult_CLAIM_GRANTED {
			t.Fatalf("claim: %v %v", a, err)
		}
	}
	follower.leader = ""
	wrongName := settings.Replica{Name: "control-3", Region: "north", Address: leader.address}
	unreachable := settings.Replica{Name: "control-4", Region: "north", Address: "127.0.0.1:1"}
	checkClaimWithoutLeader(t, newClient(first, wrongName, unreachable), request)
}

// claimsWithoutLeader is the number of claims that are tried without a leader. The deadline may end a call in flight,
// and then the claim is correctly reported as lost. A client that reports every claim as lost fails all tries.
const claimsWithoutLeader = 50

func checkClaimWithoutLeader(t *testing.T, client *claimClient, request *controlpb.ClaimRequest) {
	t.Helper()
	for range claimsWithoutLeader {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, lost, err := client.Claim(ctx, request)
		cancel()
		if err == nil {
			t.Fatal("a claim without a leader was granted")
		}
		if !lost {
			return
		}
		var failed *ClaimGroupError
		if !errors.As(err, &failed) || status.Code(failed.Last) != codes.DeadlineExceeded {
			t.Fatalf("claim reported as lost although no call timed out: %v", err)
		}
	}
	t.Fatalf("all %d claims that no replica received were reported as lost", claimsWithoutLeader)
}

// Guards against sending crash marks outside the home regions of their request, and against counting one crash twice.
func TestCrashMarksStayInHomeRegions(t *testing.T) {
	f := fingerprint{1}
	north, other := newCrashMarkTable("gw-1"), newCrashMarkTable("gw-2")
	north.RecordCrash(0, f, []string{"north"})
	if own := north.OwnCounts(0, "south"); len(own) != 0 || len(permittedMarks("south", north.takePending())) != 0 {
		t.Fatal("a mark left its home regions")
	}
	own := north.OwnCounts(0, "north")
	other.Merge(0, "gw-1", "south", own)
	if other.RecordCrash(0, f, nil) {
		t.Fatal("a mark from outside its home regions was merged")
	}
	second := newCrashMarkTable("gw-3")
	for range 3 {
		second.Merge(0, "gw-1", "north", own)
	}
	if second.RefusedFor(0, f) != 0 {
		t.Fatal("one crash was counted more than once")
	}
	if !second.RecordCrash(0, f, []string{"north"}) || second.RefusedFor(0, f) != markLifetime || second.RefusedFor(markLifetime, f) != 0 {
		t.Fatal("crashes seen by two gateways do not add up, or last too long")
	}
	second.Merge(0, "gw-1", "north", []*gossippb.CrashMark{{Fingerprint: f[:], Regions: []string{"north"}}})
	if second.RefusedFor(0, f) != 0 {
		t.Fatal("a success did not delete the marks")
	}
}
