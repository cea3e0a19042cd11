package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
)

// claimCallTimeout limits one call to a replica; claimRetryInterval is the delay before the next attempt when no other leader
// is known.
const (
	claimCallTimeout   = 500 * time.Millisecond
	claimRetryInterval = 20 * time.Millisecond
)

// ClaimGroupError reports that no replica of the claim group of a region answered the call as leader.
type ClaimGroupError struct {
	Region string
	Last   error // error of the last attempt; nil if no leader is known
}

func (e *ClaimGroupError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("claim group of %s: no leader is known", e.Region)
	}
	return fmt.Sprintf("claim group of %s: %v", e.Region, e.Last)
}

func (e *ClaimGroupError) Unwrap() error { return e.Last }

// NotLeaderError reports a replica that is not the leader of the claim group and therefore recorded nothing.
type NotLeaderError struct {
	Address string
}

func (e *NotLeaderError) Error() string {
	return "replica " + e.Address + " is not the leader of the claim group"
}

// NotConnectedError reports that no connection to a replica could be opened, so nothing was sent.
type NotConnectedError struct {
	Address string
}

func (e *NotConnectedError) Error() string { return "no connection to replica " + e.Address }

// claimClient calls the leaders of claim groups. It keeps one connection to each replica.
type claimClient struct {
	replicas    []settings.Replica
	leaders     func() map[string]string // leader addresses by region, from the lease
	connections *connectionPool

	mu             sync.Mutex
	learnedLeaders map[string]string // leader addresses by region, from answers of replicas; newer than leaders
}

func newClaimClient(replicas []settings.Replica, leaders func() map[string]string, connections *connectionPool) *claimClient {
	return &claimClient{replicas: replicas, leaders: leaders, connections: connections, learnedLeaders: map[string]string{}}
}

// Claim implements claimer. All attempts have the same holder, so a claim whose answer was lost is granted again.
func (c *claimClient) Claim(ctx context.Context, request *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, bool, error) {
	lost := false
	var answer *controlpb.ClaimAnswer
	err := c.callUntilAnswered(ctx, request.Region, func(ctx context.Context, address string, client controlpb.ClaimsClient) (string, error) {
		a, err := client.Claim(ctx, request)
		if err != nil {
			lost = true
			return "", err
		}
		switch a.GetResult() {
		case controlpb.ClaimResult_CLAIM_NOT_LEADER:
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		case controlpb.ClaimResult_CLAIM_UNSPECIFIED:
			lost = true
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		}
		answer = a
		return "", nil
	})
	return answer, lost, err
}

// Complete implements claimer.
func (c *claimClient) Complete(ctx context.Context, request *controlpb.CompleteRequest) error {
	return c.callUntilAnswered(ctx, request.Region, func(ctx context.Context, address string, client controlpb.ClaimsClient) (string, error) {
		a, err := client.Complete(ctx, request)
		if err != nil {
			return "", err
		}
		if !a.GetAccepted() && a.GetLeaderAddress() != "" {
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		}
		if !a.GetAccepted() {
			return "", &NotLeaderError{Address: address}
		}
		return "", nil
	})
}

// claimCall calls one replica; leader is the leader address in its answer, or "".
type claimCall func(ctx context.Context, address string, client controlpb.ClaimsClient) (leader string, err error)

// callUntilAnswered calls replicas, the known leader first, until a call succeeds or ctx ends.
func (c *claimClient) callUntilAnswered(ctx context.Context, region string, call claimCall) error {
	failed := &ClaimGroupError{Region: region}
	for i := 0; ctx.Err() == nil; i++ {
		address := c.replicaToTry(region, i)
		if address == "" {
			return failed
		}
		leader, err := c.callReplica(ctx, address, call)
		if err == nil {
			c.setLeader(region, address)
			return nil
		}
		failed.Last = err
		c.setLeader(region, leader)
		if leader == "" || leader == address {
			sleep(ctx, claimRetryInterval)
		}
	}
	return failed
}

func (c *claimClient) callReplica(ctx context.Context, address string, call claimCall) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	conn, err := c.connection(address)
	if err != nil {
		return "", err
	}
	if !waitReady(ctx, conn.ClientConn) {
		return "", &NotConnectedError{Address: address}
	}
	leader, err := call(ctx, address, controlpb.NewClaimsClient(conn))
	c.connections.recordResult(conn, err)
	return leader, err
}

// waitReady waits for an open connection and reports whether there is one. Without it, a request to an unreachable replica
// could not be told apart from one that was sent.
func waitReady(ctx context.Context, conn *grpc.ClientConn) bool {
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			conn.ResetConnectBackoff()
			return false
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// replicaToTry returns the leader known from answers. If there is none, it returns the leader from the lease on the first
// attempt and otherwise the replicas of the region in turn. For a region without replicas it always returns the leader from
// the lease. "" means that no replica is known.
func (c *claimClient) replicaToTry(region string, try int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learned := c.learnedLeaders[region]; learned != "" {
		return learned
	}
	if leader := c.leaders()[region]; leader != "" && try == 0 {
		return leader
	}
	var local []string
	for _, r := range c.replicas {
		if r.Region == region {
			local = append(local, r.Address)
		}
	}
	if len(local) == 0 {
		return c.leaders()[region]
	}
	return local[try%len(local)]
}

// setLeader stores the leader address of a region; "" removes it.
func (c *claimClient) setLeader(region, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedLeaders[region] = address
}

func (c *claimClient) connection(address string) (*peerConnection, error) {
	name := ""
	for _, r := range c.replicas {
		if r.Address == address {
			name = r.Name
		}
	}
	return c.connections.get(name, address)
}
