package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherwall.example/api"
)

// reporting is a replica that reports to another one over streams that may break.
type reportLink struct {
	from, to *gatewayDirectory
	stream   *reportStream
	// acknowledged is what the sender knows of the stream.
	ackedVersion uint64
	now          time.Time
}

func newReportLink() *reportLink {
	now := time.Now()
	return &reportLink{from: newGatewayDirectory(1, now.Add(-time.Hour)), to: newGatewayDirectory(2, now), stream: &reportStream{}, now: now}
}

func (r *reportLink) reconnect() {
	r.stream, r.ackedVersion = &reportStream{}, 0
}

// deliver sends a report and tells how many gateways it listed.
func (r *reportLink) deliver(revision uint64) int {
	r.from.refresh(revision, nil, r.now)
	report := r.from.buildReport(r.ackedVersion, r.now)
	r.to.applyReport(r.stream, report, r.now)
	return len(report.Gateways)
}

// checkEqual requires that the receiver knows what the sender knows, ages included.
func (r *reportLink) requireEqual(t *testing.T) {
	t.Helper()
	view := r.to.views[1]
	if view == nil || view.revision != r.from.own.revision || len(view.gateways) != len(r.from.own.gateways) {
		t.Fatalf("receiver holds %+v, sender %+v", view, r.from.own)
	}
	for name, own := range r.from.own.gateways {
		got := view.gateways[name]
		if got.status.GetRevision() != own.status.Revision || got.renewedAt.Sub(own.renewedAt).Abs() > time.Millisecond {
			t.Fatalf("%s: receiver holds %+v, sender %+v", name, got, own)
		}
	}
}

// Guards against a receiver that misses a change, keeps a wrong age or stays refused after lost reports, lost
// acknowledgements, broken connections and restarts of either side.
func TestReportsSurviveLossAndRestarts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := newReportLink()
	refused := 0
	for range 20000 {
		r.now = r.now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		switch random.IntN(40) {
		case 0:
			r.reconnect()
		case 1:
			r.to = newGatewayDirectory(2, r.now) // without the sender noticing yet
		case 2:
			r.from = newGatewayDirectory(1, r.now)
			r.reconnect()
		case 3, 4, 5:
			r.from.refresh(1, nil, r.now)
			r.from.buildReport(r.ackedVersion, r.now) // lost
		case 6, 7, 8, 9:
			r.deliver(uint64(random.IntN(9))) // its acknowledgement is lost
		case 10, 11, 12, 13, 14, 15, 16, 17:
			r.deliver(uint64(random.IntN(9)))
			r.ackedVersion = r.stream.heldVersion
			if r.stream.heldVersion != 0 {
				r.requireEqual(t)
				continue
			}
			refused++
			r.deliver(1)
			r.ackedVersion = r.stream.heldVersion
			r.requireEqual(t)
		default:
			name := fmt.Sprintf("g%d", random.IntN(12))
			r.from.recordRenewal(gatewayStatus(name, 1, uint64(random.IntN(3))), r.now)
		}
	}
	if refused == 0 {
		t.Fatal("no report was refused; the test needs some")
	}
}

// Guards against reports that repeat unchanged gateways: they cost the leader most of its bytes.
func TestSteadyReportListsNoGateway(t *testing.T) {
	r := newReportLink()
	r.from.recordRenewal(gatewayStatus("a", 1, 1), r.now)
	r.from.recordRenewal(gatewayStatus("b", 1, 1), r.now)
	for step, tt := range []struct {
		revision uint64 // of gateway b
		listed   int
	}{{1, 2}, {1, 0}, {2, 1}, {2, 0}} {
		r.from.recordRenewal(gatewayStatus("a", 1, 1), r.now)
		r.from.recordRenewal(gatewayStatus("b", 1, tt.revision), r.now)
		if got := r.deliver(1); got != tt.listed {
			t.Fatalf("step %d: %d gateways listed, want %d", step, got, tt.listed)
		}
		r.ackedVersion = r.stream.heldVersion
		r.requireEqual(t)
	}
}

// Guards against a silent gateway that stays young because the reports of its replica go on: it must lose its lease,
// and then its place in the list, in time.
func TestSilentGatewayAgesThroughReports(t *testing.T) {
	r := newReportLink()
	r.from.recordRenewal(gatewayStatus("silent", 1, 4), r.now)
	silentSince := r.now
	for r.now.Sub(silentSince) <= gatewayListRetention+2*time.Second {
		r.from.recordRenewal(gatewayStatus("renewing", 1, 5), r.now)
		r.deliver(5)
		r.ackedVersion = r.stream.heldVersion
		silentFor := r.now.Sub(silentSince)
		inForce, waiting := r.to.checkInForce(5, []uint64{1}, r.now)
		if leased := silentFor < api.ConfigurationLease+api.LeaseMargin; inForce == leased {
			t.Fatalf("silent for %v: in force %v, waiting for %v", silentFor, inForce, waiting)
		}
		want := 2
		if silentFor > gatewayListRetention {
			want = 1
		}
		if got := len(r.to.gatewayStatuses(r.now)); got != want {
			t.Fatalf("silent for %v: %d gateways listed, want %d", silentFor, got, want)
		}
		r.now = r.now.Add(reportInterval)
	}
}

// Guards against an early "in force" when a replica restarts: it has forgotten the gateways whose leases it confirmed
// before, and one of them may still serve an older revision.
func TestRestartedReplicaConfirmsInForceAfterLease(t *testing.T) {
	r := newReportLink()
	r.from.recordRenewal(gatewayStatus("cut off", 1, 4), r.now)
	r.deliver(4)
	leaseEnds := r.now.Add(api.ConfigurationLease + api.LeaseMargin)
	r.now = r.now.Add(time.Second)
	r.from = newGatewayDirectory(1, r.now)
	r.reconnect()
	for ; r.now.Before(leaseEnds); r.now = r.now.Add(reportInterval / 4) {
		r.deliver(5)
		if inForce, _ := r.to.checkInForce(5, []uint64{1}, r.now); inForce {
			t.Fatalf("in force %v before the lease ends", leaseEnds.Sub(r.now))
		}
	}
	r.now = leaseEnds.Add(time.Second)
	r.deliver(5)
	if inForce, waiting := r.to.checkInForce(5, []uint64{1}, r.now); !inForce {
		t.Fatalf("not in force after the lease; waiting for %v", waiting)
	}
}
