package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
)

const (
	// attemptTimeout limits one RPC to one replica, which may take 5 s to decide a change.
	attemptTimeout = 6 * time.Second
	// connectTimeout limits the TLS handshake. It is needed because the kernel still accepts TCP connections for a
	// replica whose process is suspended.
	connectTimeout = time.Second
	// roundDelay is the time between two rounds over all replicas; it prevents a busy loop.
	roundDelay = 200 * time.Millisecond
	// maxMessageBytes is large enough for a whole document together with the conflicting section texts.
	maxMessageBytes  = 16 << 20
	maxAttemptErrors = 5
)

// replicaClient calls control replicas one at a time and fails over between them.
type replicaClient struct {
	addresses []string
	tls       *tls.Config
	conns     map[string]*grpc.ClientConn
	// preferred is the address to call next: the leader that a replica named, or the replica that answered the last
	// call. It is empty if there is none.
	preferred string
	// attemptErrors lists the errors of the most recent attempts, oldest first.
	attemptErrors []string
	// outcomeUnknown is true if an earlier attempt failed but may have had an effect.
	outcomeUnknown bool
}

// newReplicaClient loads the client configuration. Connections are opened on first use.
func (c *invocation) newReplicaClient() (*replicaClient, error) {
	if err := c.loadClientConfig(); err != nil {
		return nil, err
	}
	config, err := c.tlsConfig()
	if err != nil {
		return nil, err
	}
	r := &replicaClient{tls: config, conns: map[string]*grpc.ClientConn{}}
	for _, replica := range c.options.clientFile.Control {
		r.addresses = append(r.addresses, replica.Address)
	}
	return r, nil
}

func (r *replicaClient) close() {
	for _, conn := range r.conns {
		conn.Close()
	}
}

// tlsConfig returns a client configuration that verifies a server by the certificate authority and by its instance
// name, because certificates contain no addresses. The name is not verified if the client file names no replica.
func (c *invocation) tlsConfig() (*tls.Config, error) {
	files := c.options.clientFile.TLS
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, c.usageError(err.Error())
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, c.usageError(err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, c.usageError(files.Authority + ": expected PEM certificates")
	}
	var names []string
	for _, replica := range c.options.clientFile.Control {
		if replica.Name != "" {
			names = append(names, replica.Name)
		}
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain and the instance name
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyReplica(s, roots, names) },
	}, nil
}

func verifyReplica(s tls.ConnectionState, roots *x509.CertPool, names []string) error {
	name, err := api.VerifyChain(s, roots)
	if err != nil {
		return &CertificateError{Name: name, Err: err}
	}
	if len(names) > 0 && !slices.Contains(names, name) {
		return &CertificateError{Name: name}
	}
	return nil
}

// client returns a client for the replica at address; the connection is created on first use and then reused.
func (r *replicaClient) client(address string) (controlpb.OperatorsClient, error) {
	conn, ok := r.conns[address]
	if !ok {
		var err error
		conn, err = api.Dial(address, r.tls,
			grpc.WithConnectParams(connectParams()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, fmt.Errorf("replica %s: %w", address, err)
		}
		r.conns[address] = conn
	}
	return controlpb.NewOperatorsClient(conn), nil
}

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: connectTimeout}
}

// redirectAnswer is implemented by answers of replicas that do not lead; they may name the leader.
type redirectAnswer interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// callWithFailover calls replicas in turn, starting with the preferred one, until one returns an answer or ctx ends.
// The error is a *RefusedError if a replica refused the call and no earlier attempt could have had an effect, and
// otherwise a *NoAnswerError.
func callWithFailover[T any](ctx context.Context, r *replicaClient, rpc func(context.Context, controlpb.OperatorsClient) (T, error)) (T, error) {
	var zero T
	for attempt := 0; ; attempt++ {
		address := r.pickAddress(attempt)
		answer, err := callReplica(ctx, r, address, rpc)
		if err == nil && !r.followRedirect(address, answer) {
			r.preferred = address
			return answer, nil
		}
		if err != nil && isRefusal(err) && !r.outcomeUnknown {
			return zero, &RefusedError{Reason: status.Convert(err).Message()}
		}
		if err != nil {
			r.outcomeUnknown = true
			r.recordFailure(address, status.Convert(err).Message())
		}
		if !r.waitBeforeRetry(ctx, attempt) {
			return zero, &NoAnswerError{AttemptErrors: r.attemptErrors}
		}
	}
}

// pickAddress returns the preferred address and clears it, or else selects by round robin.
func (r *replicaClient) pickAddress(attempt int) string {
	if address := r.preferred; address != "" {
		r.preferred = ""
		return address
	}
	return r.addresses[attempt%len(r.addresses)]
}

// callReplica makes one RPC to one replica, limited by attemptTimeout.
func callReplica[T any](ctx context.Context, r *replicaClient, address string, rpc func(context.Context, controlpb.OperatorsClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	client, err := r.client(address)
	if err != nil {
		var zero T
		return zero, err
	}
	return rpc(ctx, client)
}

// followRedirect reports whether the replica answered that it is not the leader. If so, the leader that it named
// becomes the preferred replica.
func (r *replicaClient) followRedirect(address string, answer any) bool {
	a, ok := answer.(redirectAnswer)
	if !ok || !a.GetNotLeader() {
		return false
	}
	r.recordFailure(address, "not the leader")
	if a.GetLeaderAddress() != address {
		r.preferred = a.GetLeaderAddress()
	}
	return true
}

// recordFailure keeps the last maxAttemptErrors errors.
func (r *replicaClient) recordFailure(address, message string) {
	r.attemptErrors = append(r.attemptErrors, address+": "+message)
	if len(r.attemptErrors) > maxAttemptErrors {
		r.attemptErrors = r.attemptErrors[1:]
	}
}

// waitBeforeRetry waits after each round over all replicas. Redirects count as attempts, so replicas that redirect to
// each other cannot cause a busy loop. It returns false if ctx has ended.
func (r *replicaClient) waitBeforeRetry(ctx context.Context, attempt int) bool {
	if (attempt+1)%len(r.addresses) != 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(roundDelay):
		return true
	}
}

// isRefusal reports whether a replica refused the call, so that it had no effect. With any other error, the outcome is
// unknown.
func isRefusal(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.OutOfRange, codes.FailedPrecondition, codes.PermissionDenied,
		codes.Unauthenticated, codes.Unimplemented:
		return true
	}
	return false
}
