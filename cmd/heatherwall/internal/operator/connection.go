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
	roundPause = 200 * time.Millisecond
	// maxMessageBytes admits a whole document with the texts in conflict.
	maxMessageBytes = 16 << 20
	maxAttemptsKept = 5
)

// replicas calls control replicas, one at a time.
type replicas struct {
	addresses []string
	tls       *tls.Config
	open      map[string]*grpc.ClientConn
	// next is called first: the leader that a replica named, or the replica that answered the last call.
	next string
	// failed lists what the newest attempts met.
	failed []string
	// uncertain is true when an earlier attempt may have had an effect.
	uncertain bool
}

func (c *call) connect() (*replicas, error) {
	if err := c.loadClient(); err != nil {
		return nil, err
	}
	config, err := c.tlsConfig()
	if err != nil {
		return nil, err
	}
	r := &replicas{tls: config, open: map[string]*grpc.ClientConn{}}
	for _, peer := range c.options.file.Control {
		r.addresses = append(r.addresses, peer.Address)
	}
	return r, nil
}

func (r *replicas) close() {
	for _, conn := range r.open {
		conn.Close()
	}
}

// tlsConfig checks a server by the setup's authority and by its instance name, because addresses are not in
// certificates. The name is not checked if the client file names no replica.
func (c *call) tlsConfig() (*tls.Config, error) {
	files := c.options.file.TLS
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, c.usage(err.Error())
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, c.usage(err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, c.usage(files.Authority + ": expected PEM certificates")
	}
	var names []string
	for _, peer := range c.options.file.Control {
		if peer.Name != "" {
			names = append(names, peer.Name)
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
		return &CertificateError{Name: name, Cause: err}
	}
	if len(names) > 0 && !slices.Contains(names, name) {
		return &CertificateError{Name: name}
	}
	return nil
}

func (r *replicas) client(address string) (controlpb.OperatorsClient, error) {
	conn, ok := r.open[address]
	if !ok {
		var err error
		conn, err = api.Dial(address, r.tls,
			grpc.WithConnectParams(connectParams()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, fmt.Errorf("replica %s: %w", address, err)
		}
		r.open[address] = conn
	}
	return controlpb.NewOperatorsClient(conn), nil
}

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: connectTimeout}
}

// redirect is an answer that may name the leader instead of deciding.
type redirect interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// ask calls replicas in turn, the named leader first, until one gives an answer or ctx ends. The error is a
// *RefusedError if a replica refused the call and no earlier attempt could have had an effect, else a *NoAnswerError.
func ask[T any](ctx context.Context, r *replicas, method func(context.Context, controlpb.OperatorsClient) (T, error)) (T, error) {
	var none T
	for turn := 0; ; turn++ {
		address := r.pick(turn)
		answer, err := attempt(ctx, r, address, method)
		if err == nil && !r.follow(address, answer) {
			r.next = address
			return answer, nil
		}
		if err != nil && refused(err) && !r.uncertain {
			return none, &RefusedError{Fault: status.Convert(err).Message()}
		}
		if err != nil {
			r.uncertain = true
			r.fail(address, status.Convert(err).Message())
		}
		if !r.pause(ctx, turn) {
			return none, &NoAnswerError{Attempts: r.failed}
		}
	}
}

func (r *replicas) pick(turn int) string {
	if address := r.next; address != "" {
		r.next = ""
		return address
	}
	return r.addresses[turn%len(r.addresses)]
}

func attempt[T any](ctx context.Context, r *replicas, address string, method func(context.Context, controlpb.OperatorsClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	client, err := r.client(address)
	if err != nil {
		var none T
		return none, err
	}
	return method(ctx, client)
}

// follow tells whether the answer only names the leader, and remembers it.
func (r *replicas) follow(address string, answer any) bool {
	a, ok := answer.(redirect)
	if !ok || !a.GetNotLeader() {
		return false
	}
	r.fail(address, "not the leader")
	if a.GetLeaderAddress() != address {
		r.next = a.GetLeaderAddress()
	}
	return true
}

func (r *replicas) fail(address, message string) {
	r.failed = append(r.failed, address+": "+message)
	if len(r.failed) > maxAttemptsKept {
		r.failed = r.failed[1:]
	}
}

// pause waits after each round, and between redirects, which could go in a circle. It returns false when ctx has ended.
func (r *replicas) pause(ctx context.Context, turn int) bool {
	if (turn+1)%len(r.addresses) != 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(roundPause):
		return true
	}
}

// refused tells whether a replica decided not to serve the call. Other errors leave open what happened.
func refused(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.OutOfRange, codes.FailedPrecondition, codes.PermissionDenied,
		codes.Unauthenticated, codes.Unimplemented:
		return true
	}
	return false
}
