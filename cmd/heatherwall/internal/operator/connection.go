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
	// attemptTimeout bounds one call to one replica; a replica may need 5 s to decide a change.
	attemptTimeout = 6 * time.Second
	// connectTimeout bounds the TLS handshake: the kernel accepts connections for a frozen replica.
	connectTimeout = time.Second
	// roundPause keeps the client from calling all replicas in a fast loop.
	roundDelay = 200 * time.Millisecond
	// maxMessageBytes admits a whole document with the texts in conflict.
	maxMessageBytes  = 16 << 20
	maxAttemptErrors = 5
)

// replicas calls control replicas, one at a time.
type replicaClient struct {
	addresses []string
	tls       *tls.Config
	conns     map[string]*grpc.ClientConn
	// next is called first: the leader that a replica named, or the replica that answered the last call.
	preferred string
	// failed lists what the newest attempts met.
	attemptErrors []string
	// uncertain is true when an earlier attempt may have had an effect.
	outcomeUnknown bool
}

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

// tlsConfig checks a server by the setup's authority and by its instance name, because addresses are not in
// certificates. The name is not checked if the client file names no replica.
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
		InsecureSkipVerify: true, // VerifyConnection checks the chain and the instance name
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

// redirect is an answer that may name the leader instead of deciding.
type redirectAnswer interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// ask calls replicas in turn, the named leader first, until one gives an answer or ctx ends. The error is a
// *RefusedError if a replica refused the call and no earlier attempt could have had an effect, else a *NoAnswerError.
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

func (r *replicaClient) pickAddress(attempt int) string {
	if address := r.preferred; address != "" {
		r.preferred = ""
		return address
	}
	return r.addresses[attempt%len(r.addresses)]
}

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

// follow tells whether the answer only names the leader, and remembers it.
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

func (r *replicaClient) recordFailure(address, message string) {
	r.attemptErrors = append(r.attemptErrors, address+": "+message)
	if len(r.attemptErrors) > maxAttemptErrors {
		r.attemptErrors = r.attemptErrors[1:]
	}
}

// pause waits after each round, and between redirects, which could go in a circle. It returns false when ctx has ended.
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

// refused tells whether a replica decided not to serve the call. Other errors leave open what happened.
func isRefusal(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.OutOfRange, codes.FailedPrecondition, codes.PermissionDenied,
		codes.Unauthenticated, codes.Unimplemented:
		return true
	}
	return false
}
