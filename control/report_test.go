package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherwall.example/api"
)

// reportLink connects the directory of a reporting replica with that of a receiver over streams that may fail.
type reportLink struct {
	sender, receiver *gatewayDirectory
	stream           *reportStream
	// ackedVersion is the report version that the sender knows as acknowledged on the stream.
	ackedVersion uint64
	now          time.Time
}

func newReportLink() *reportLink {
	now := time.Now()
	return &reportLink{sender: newGatewayDirectory(1, now.Add(-time.Hour)), receiver: newGatewayDirectory(2, now), stream: &reportStream{}, now: now}
}

func (r *reportLink) reconnect() {
	r.stream, r.ackedVersion = &reportStream{}, 0
}

// deliver sends a report and returns the number of gateways in it.
func (r *reportLink) deliver(revision uint64) int {
	r.sender.refresh(revision, nil, r.now)
	report := r.sender.buildReport(r.ackedVersion, r.now)
	r.receiver.applyReport(r.stream, report, r.now)
	return len(report.Gateways)
}

// requireEqual requires that the receiver's view equals the sender's own view, including the ages.
func (r *reportLink) requireEqual(t *testing.T) {
	t.Helper()
	view := r.receiver.views[1]
	if view == nil || view.revision != r.sender.own.revision || len(view.gateways) != len(r.sender.own.gateways) {
		t.Fatalf("receiver holds %+v, sender %+v", view, r.sender.own)
	}
	for name, own := range r.sender.own.gateways {
		got := view.gateways[name]
		if got.status.GetRevision() != own.status.Revision || got.renewedAt.Sub(own.renewedAt).Abs() > time.Millisecond {
			t.Fatalf("%s: receiver holds %+v, sender %+v", name, got, own)
		}
	}
}

// Guards against a receiver that misses a change, keeps a wrong age or goes on refusing reports after lost reports, lost
// acknowledgements, broken connections and restarts of either side.
func TestReportsSurviveLossAndRestarts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := newReportLink()
	rejected := 0
	for range 20000 {
		r.now = r.now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		switch random.IntN(40) {
		case 0:
			r.reconnect()
		case 1:
			r.receiver = newGatewayDirectory(2, r.now) // the receiver restarts; the sender has not noticed yet
		case 2:
			r.sender = newGatewayDirectory(1, r.now)
			r.reconnect()
		case 3, 4, 5:
			r.sender.refresh(1, nil, r.now)
			r.sender.buildReport(r.ackedVersion, r.now) // the report is lost
		case 6, 7, 8, 9:
			r.deliver(uint64(random.IntN(9))) // the acknowledgement is lost
		case 10, 11, 12, 13, 14, 15, 16, 17:
			r.deliver(uint64(random.IntN(9)))
			r.ackedVersion = r.stream.heldVersion
			if r.stream.heldVersion != 0 {
				r.requireEqual(t)
				continue
			}
			rejected++
			r.deliver(1)
			r.ackedVersion = r.stream.heldVersion
			r.requireEqual(t)
		default:
			name := fmt.Sprintf("g%d", random.IntN(12))
			r.sender.recordRenewal(gatewayStatus(name, 1, uint64(random.IntN(3))), r.now)
		}
	}
	if rejected == 0 {
		t.Fatal("no report was rejected; the test needs some")
	}
}

// Guards against reports that repeat unchanged gateways; such reports would be most of the bytes that a leader sends.
func TestSteadyReportListsNoGateway(t *testing.T) {
	r := newReportLink()
	r.sender.recordRenewal(gatewayStatus("a", 1, 1), r.now)
	r.sender.recordRenewal(gatewayStatus("b", 1, 1), r.now)
	for step, tt := range []struct {
		revision uint64 // of gateway b
		listed   int
	}{{1, 2}, {1, 0}, {2, 1}, {2, 0}} {
		r.sender.recordRenewal(gatewayStatus("a", 1, 1), r.now)
		r.sender.recordRenewal(gatewayStatus("b", 1, tt.revision), r.now)
		if got := r.deliver(1); got != tt.listed {
			t.Fatalf("step %d: %d gateways listed, want %d", step, got, tt.listed)
		}
		r.ackedVersion = r.stream.heldVersion
		r.requireEqual(t)
	}
}

// Guards against the age of a silent gateway not growing while its replica keeps sending reports: the gateway must lose
// its lease, and later its place in the list, in time.
func TestSilentGatewayAgesThroughReports(t *testing.T) {
	r := newReportLink()
	r.sender.recordRenewal(gatewayStatus("silent", 1, 4), r.now)
	silentSince := r.now
	for r.now.Sub(silentSince) <= gatewayListRetention+2*time.Second {
		r.sender.recordRenewal(gatewayStatus("renewing", 1, 5), r.now)
		r.deliver(5)
		r.ackedVersion = r.stream.heldVersion
		silentFor := r.now.Sub(silentSince)
		inForce, waiting := r.receiver.checkInForce(5, []uint64{1}, r.now)
		if leased := silentFor < api.ConfigurationLease+api.LeaseMargin; inForce == leased {
			t.Fatalf("silent for %v: in force %v, waiting for %v", silentFor, inForce, waiting)
		}
		want := 2
		if silentFor > gatewayListRetention {
			want = 1
		}
		if got := len(r.receiver.gatewayStatuses(r.now)); got != want {
			t.Fatalf("silent for %v: %d gateways listed, want %d", silentFor, got, want)
		}
		r.now = r.now.Add(reportInterval)
	}
}

// Guards against reporting a revision as in force too early after a restart of a replica: it no longer knows the
// gateways whose leases it confirmed before, and one of them may still serve an older revision.
func TestRestartedReplicaConfirmsInForceAfterLease(t *testing.T) {
	r := newReportLink()
	r.sender.recordRenewal(gatewayStatus("cut off", 1, 4), r.now)
	r.deliver(4)
	leaseEnds := r.now.Add(api.ConfigurationLease + api.LeaseMargin)
	r.now = r.now.Add(time.Second)
	r.sender = newGatewayDirectory(1, r.now)
	r.reconnect()
	for ; r.now.Before(leaseEnds); r.now = r.now.Add(reportInterval / 4) {
		r.deliver(5)
		if inForce, _ := r.receiver.checkInForce(5, []uint64{1}, r.now); inForce {
			t.Fatalf("in force %v before the lease ends", leaseEnds.Sub(r.now))
		}
	}
	r.now = leaseEnds.Add(time.Second)
	r.deliver(5)
	if inForce, waiting := r.receiver.checkInForce(5, []uint64{1}, r.now); !inForce {
		t.Fatalf("not in force after the lease; waiting for %v", waiting)
	}
}
