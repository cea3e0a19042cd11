package harness

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
	"heatherwall.example/testbed/devcerts"
	"heatherwall.example/testbed/localsetup"
)

const (
	queryTimeout = 2 * time.Second
	applyTimeout = 6 * time.Second
	applyPause   = 50 * time.Millisecond
)

// reconnectBackoff is short, so that the measured time of a restart does not include a long back-off of the client.
var reconnectBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1, MaxDelay: 20 * time.Millisecond}

// Operator calls control replicas directly, for tests that need responses as protobuf messages or apply many changes.
type Operator struct {
	connections map[string]*grpc.ClientConn
	controls    []localsetup.Instance
	key         *document.PrivateKey
}

// Operator returns a client of the cluster's control replicas that bypasses the relays.
func (c *Cluster) Operator(t testing.TB) *Operator {
	t.Helper()
	if c.operator != nil {
		return c.operator
	}
	config := clientTLS(t, filepath.Join(c.Folder, "certificates"))
	o := &Operator{
		connections: map[string]*grpc.ClientConn{},
		controls:    c.Setup.Controls,
		key:         &document.PrivateKey{Signer: Member, ID: KeyID, Seed: privateKeySeed()},
	}
	for _, i := range c.Setup.Controls {
		connection, err := grpc.NewClient("passthrough:///"+i.Peer,
			grpc.WithTransportCredentials(credentials.NewTLS(config)), grpc.WithNoProxy(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: queryTimeout}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		o.connections[i.Name] = connection
	}
	c.operator = o
	return o
}

func clientTLS(t testing.TB, folder string) *tls.Config {
	t.Helper()
	base := filepath.Join(folder, localsetup.OperatorName)
	pair, err := tls.LoadX509KeyPair(base+".pem", base+".key")
	if err != nil {
		t.Fatal(err)
	}
	authority, err := os.ReadFile(filepath.Join(folder, devcerts.AuthorityName+".pem"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority)
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}
}

// Status returns the status of one replica, or nil if it does not answer.
func (o *Operator) Status(name string) *controlpb.StatusAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	answer, err := controlpb.NewOperatorsClient(o.connections[name]).Status(ctx, &controlpb.StatusRequest{})
	if err != nil {
		return nil
	}
	return answer
}

// Document asks the replicas in turn for the newest document and returns the first answer, or nil if none answers.
func (o *Operator) Document() *controlpb.GetAnswer {
	for _, i := range o.controls {
		if answer := o.DocumentAt(i.Name); answer != nil {
			return answer
		}
	}
	return nil
}

// DocumentAt asks one replica for the newest document. It returns nil if the replica does not answer.
func (o *Operator) DocumentAt(name string) *controlpb.GetAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	answer, err := controlpb.NewOperatorsClient(o.connections[name]).Get(ctx, &controlpb.GetRequest{})
	if err != nil {
		return nil
	}
	return answer
}

// History returns all decided changes from a revision on, or nil if no replica answered the request for a page.
func (o *Operator) History(from uint64) []*controlpb.HistoryEntry {
	var all []*controlpb.HistoryEntry
	for {
		page := o.historyPage(from)
		if page == nil {
			return nil
		}
		if len(page.Entries) == 0 {
			return all
		}
		all = append(all, page.Entries...)
		from = page.Entries[len(page.Entries)-1].Revision + 1
	}
}

func (o *Operator) historyPage(from uint64) *controlpb.HistoryAnswer {
	for _, i := range o.controls {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		answer, err := controlpb.NewOperatorsClient(o.connections[i.Name]).History(ctx, &controlpb.HistoryRequest{FromRevision: from})
		cancel()
		if err == nil {
			return answer
		}
	}
	return nil
}

// NewChange returns a signed change of one section with a random ID.
func (o *Operator) NewChange(t testing.TB, section string, base uint64, text string) *controlpb.SignedChange {
	t.Helper()
	change := &controlpb.Change{
		Id:       uuid.NewString(),
		Sections: []*controlpb.SectionChange{{Name: section, BaseRevision: base, Text: text}},
	}
	signed, err := document.Sign(change, o.key)
	if err != nil {
		t.Fatal(err)
	}
	return signed
}

// Apply sends the same change to the replicas in turn until one decides it. It returns nil if none did within the
// timeout.
func (o *Operator) Apply(signed *controlpb.SignedChange, timeout time.Duration) *controlpb.ChangeOutcome {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(applyPause) {
		for _, i := range o.controls {
			if outcome := o.ApplyAt(i.Name, signed); outcome != nil {
				return outcome
			}
		}
	}
	return nil
}

// ApplyAt sends a change to one replica. It returns nil unless that replica decided it.
func (o *Operator) ApplyAt(name string, signed *controlpb.SignedChange) *controlpb.ChangeOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	answer, err := controlpb.NewOperatorsClient(o.connections[name]).Apply(ctx, &controlpb.ApplyRequest{Change: signed})
	if err != nil {
		return nil
	}
	return answer.Outcome
}

// ChangeID returns the ID of a signed change.
func ChangeID(t testing.TB, signed *controlpb.SignedChange) string {
	t.Helper()
	change, err := document.DecodeChange(signed)
	if err != nil {
		t.Fatal(err)
	}
	return change.Id
}
