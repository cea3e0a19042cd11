package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/settings"
	"heatherwall.example/testbed/devcerts"
)

// controlGroup is a group of control replicas in this process. They share one state, and the last one is the leader.
type controlGroup struct {
	mu        sync.Mutex
	state     *controlstate.Configuration
	addresses []string
	// answersToLose is the number of decided changes whose answers are still to be lost.
	answersToLose atomic.Int32
	// getBarrier, if set, delays answers to Get until every operator of a race has sent its request.
	getBarrier atomic.Pointer[sync.WaitGroup]
	// notInForceAnswers is the number of times that InForce still answers that the revision is not in force.
	notInForceAnswers atomic.Int32
	// load is the answer to Load. If it is nil, the replicas answer that Load is not implemented.
	load  atomic.Pointer[controlpb.LoadAnswer]
	names []string
}

// replica is one server of a controlGroup.
type replica struct {
	controlpb.UnimplementedOperatorsServer
	group *controlGroup
	index int
}

func (r *replica) isLeader() bool { return r.index == len(r.group.addresses)-1 }

func (r *replica) leaderAddress() string { return r.group.addresses[len(r.group.addresses)-1] }

func (r *replica) Apply(_ context.Context, q *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	if !r.isLeader() {
		return &controlpb.ApplyAnswer{NotLeader: true, LeaderAddress: r.leaderAddress()}, nil
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	state := r.group.state
	result := state.Apply(state.AppliedIndex()+1, controlstate.EncodeChangeEntry(q.GetChange()))
	if r.group.answersToLose.Add(-1) >= 0 {
		return nil, status.Error(codes.Unavailable, "connection lost")
	}
	return &controlpb.ApplyAnswer{Outcome: result.Outcome}, nil
}

func (r *replica) Get(_ context.Context, q *controlpb.GetRequest) (*controlpb.GetAnswer, error) {
	r.group.mu.Lock()
	answer, err := r.group.state.BuildGetAnswer(q.GetRevision())
	r.group.mu.Unlock()
	var revisionErr *controlstate.RevisionError
	if errors.As(err, &revisionErr) {
		return nil, status.Error(codes.OutOfRange, err.Error())
	}
	if barrier := r.group.getBarrier.Load(); barrier != nil {
		barrier.Done()
		barrier.Wait()
	}
	return answer, err
}

func (r *replica) History(_ context.Context, q *controlpb.HistoryRequest) (*controlpb.HistoryAnswer, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return &controlpb.HistoryAnswer{Entries: r.group.state.History(q.GetFromRevision(), q.GetLimit())}, nil
}

func (r *replica) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusAnswer, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := r.group.state
	gateway := &controlpb.GatewayStatus{Name: "gateway-1", Region: "erie", FailureDomain: "erie-a", Revision: s.Revision()}
	return &controlpb.StatusAnswer{
		Revision: s.Revision(), DomainsOut: s.DomainsOut(), AnsweredBy: r.group.names[r.index], ClusterId: 10,
		Groups: []*controlpb.GroupStatus{{Group: 1, Current: true, LeaderAddress: r.leaderAddress()}}, Gateways: []*controlpb.GatewayStatus{gateway},
	}, nil
}

func (r *replica) InForce(context.Context, *controlpb.InForceRequest) (*controlpb.InForceAnswer, error) {
	if !r.isLeader() {
		return &controlpb.InForceAnswer{NotLeader: true, LeaderAddress: r.leaderAddress()}, nil
	}
	if r.group.notInForceAnswers.Add(-1) >= 0 {
		return &controlpb.InForceAnswer{WaitingFor: []string{"gateway-1"}}, nil
	}
	return &controlpb.InForceAnswer{InForce: true}, nil
}

func (r *replica) Load(ctx context.Context, q *controlpb.LoadRequest) (*controlpb.LoadAnswer, error) {
	if load := r.group.load.Load(); load != nil {
		return load, nil
	}
	return r.UnimplementedOperatorsServer.Load(ctx, q)
}

// startControlGroup starts three replicas with certificates in folder.
func startControlGroup(t testing.TB, folder string) *controlGroup {
	g := &controlGroup{state: controlstate.NewConfiguration(), names: []string{"control-1", "control-2", "control-3"}}
	if err := devcerts.Write(folder, append([]string{"operator", "gateway-1"}, g.names...)); err != nil {
		t.Fatal(err)
	}
	var listeners []net.Listener
	for range g.names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		g.addresses = append(g.addresses, l.Addr().String())
	}
	for i, l := range listeners {
		s := grpc.NewServer(grpc.Creds(credentials.NewTLS(serverTLS(t, folder, g.names[i]))))
		controlpb.RegisterOperatorsServer(s, &replica{group: g, index: i})
		go s.Serve(l)
		t.Cleanup(s.Stop)
	}
	return g
}

func serverTLS(t testing.TB, folder, name string) *tls.Config {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key"))
	if err != nil {
		t.Fatal(err)
	}
	authority, err := os.ReadFile(filepath.Join(folder, devcerts.AuthorityName+".pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	return &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
}

// clientFile returns the client file for the group, with the operator's certificate.
func (g *controlGroup) clientFile(folder string) clientFile {
	f := clientFile{TLS: settings.TLS{
		Certificate: filepath.Join(folder, "operator.pem"), Key: filepath.Join(folder, "operator.key"),
		Authority: filepath.Join(folder, devcerts.AuthorityName+".pem"),
	}}
	for i, address := range g.addresses {
		f.Control = append(f.Control, settings.Replica{Name: g.names[i], Address: address})
	}
	return f
}
