package control

import (
	"context"
	"net"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/testbed/devcerts"
)

// Guards against a load collection that queries gateways without a lease, that asks all gateways for slots, or that
// omits a gateway which does not answer.
func TestLoadsAreCollectedFromLeasedGateways(t *testing.T) {
	gateways := []*controlpb.GatewayStatus{
		{Name: "a", Region: "erie", AgeMs: 100}, {Name: "b", Region: "erie", AgeMs: 3100}, {Name: "c", Region: "erie"},
		{Name: "d", Region: "erie"}, {Name: "e", Region: "ontario"}, {Name: "f", Region: "ontario", AgeMs: 3200},
	}
	answer := collectLoads(loadQueries(gateways), func(q loadQuery) (*controlpb.GatewayLoad, error) {
		if q.name == "b" || q.name == "d" {
			return nil, &StoppedError{}
		}
		load := &controlpb.GatewayLoad{Name: q.name}
		if q.request.WithSlots {
			load.ReadySlots = []*controlpb.ReadySlots{{}}
		}
		return load, nil
	})
	var names []string
	for _, g := range answer.Gateways {
		if len(g.ReadySlots) > 0 {
			g.Name += " with slots"
		}
		names = append(names, g.Name)
	}
	if want := []string{"a with slots", "c", "e with slots"}; !slices.Equal(names, want) {
		t.Errorf("reports of %v, want %v", names, want)
	}
	if want := []string{"b", "d"}; !slices.Equal(answer.Silent, want) {
		t.Errorf("silent %v, want %v", answer.Silent, want)
	}
}

type fakeLoadServer struct {
	controlpb.UnimplementedGatewayLoadsServer
}

func (fakeLoadServer) Load(context.Context, *controlpb.GatewayLoadRequest) (*controlpb.GatewayLoad, error) {
	return &controlpb.GatewayLoad{}, nil
}

// Guards against accepting a load report of another instance that now listens at the address of a gateway.
func TestLoadRequiresCertificateOfNamedGateway(t *testing.T) {
	folder := t.TempDir()
	if err := devcerts.Write(folder, []string{"control-1", "gateway-1"}); err != nil {
		t.Fatal(err)
	}
	load := func(name string) *settings.TLS {
		return &settings.TLS{Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"), Authority: filepath.Join(folder, devcerts.AuthorityName+".pem")}
	}
	own, err := load("control-1").Load()
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := load("gateway-1").Load()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(gateway)))
	controlpb.RegisterGatewayLoadsServer(server, fakeLoadServer{})
	go server.Serve(l)
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for name, want := range map[string]bool{"gateway-1": true, "gateway-2": false} {
		_, err := (&replica{tls: own, settings: &settings.Control{}}).queryLoad(ctx, loadQuery{name: name, address: l.Addr().String()})
		if (err == nil) != want {
			t.Errorf("asked for %s: %v", name, err)
		}
	}
}
