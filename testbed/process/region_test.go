package process

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

const (
	regionCallRate = 200
	// refusedCalls is the number of calls sent to the cut-off gateway after its lease must have expired.
	refusedCalls = 40
	// cutVariable is the environment variable that sets the duration of the cut. The default is for CI.
	cutVariable = "HEATHERWALL_REGION_CUT"
	defaultCut  = 5 * time.Second
	// recoveryBound is the time after the end of the cut from which every request must be served.
	recoveryBound = 10 * time.Second
	// extraObservation is added to recoveryBound after a cut longer than the default, to detect calls that still fail
	// then.
	extraObservation = 5 * time.Second
)

// The service archive runs its requests at most once and only in the far region, while its claims are in the near region,
// so each request crosses the cut.
const (
	archive     = "archive"
	archivePath = "/archive"
)

// archiveDocument returns the test document with an additional service archive, which is derived from the service ledger.
func archiveDocument(t *testing.T) string {
	t.Helper()
	document := harness.Document()
	_, rest, _ := strings.Cut(document, "  ledger:\n")
	ledger, _, found := strings.Cut(rest, "  vault:\n")
	if !found {
		t.Fatal("the test document has no ledger in front of the vault")
	}
	text := strings.NewReplacer("/ledger", archivePath, "idempotent: false", "idempotent: false, run_in: ["+harness.FarRegion+"]").Replace(ledger)
	return document + "  " + archive + ":\n" + text
}

// cutRegions silently drops all traffic of gateways and control replicas between the two regions.
func cutRegions(t *testing.T, c *harness.Cluster, d relay.Direction) {
	t.Helper()
	instances := append(append([]localsetup.Instance{}, c.Setup.Controls...), c.Setup.Gateways...)
	for _, near := range instances {
		for _, far := range instances {
			if near.Region == harness.NearRegion && far.Region == harness.FarRegion {
				c.Cut(t, near.Name, far.Name, d)
			}
		}
	}
}

func gatewayIn(t *testing.T, c *harness.Cluster, region string) localsetup.Instance {
	t.Helper()
	for _, g := range c.Setup.Gateways {
		if g.Region == region {
			return g
		}
	}
	t.Fatalf("no gateway in %s", region)
	return localsetup.Instance{}
}

func cutDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv(cutVariable)
	if text == "" {
		return defaultCut
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a region without a majority that keeps serving with a configuration that may be out of date, against a
// majority that stops serving too, against requests that run twice or are refused as not run because the path to their
// server was cut, and against a region that does not recover.
func TestRegionCutFromTheMajority(t *testing.T) {
	o := harness.DefaultOptions()
	o.UseRelays = true
	o.ControlPlaces = []localsetup.Place{nearPlace1, nearPlace2, farPlace1}
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, archiveDocument(t))
	c.WaitReady(t)
	paths := newRegionPaths(t, c)
	startRegionServers(t, paths)
	calls, file := c.NewLoadOptions(t, "calls", regionCallRate, unlimitedRequests, seed)
	calls.Targets = append(calls.Targets, load.Target{Method: http.MethodPost, Path: archivePath, Token: harness.Token, Weight: 1, AtMostOnce: true, BodyBytes: 200})
	calls.Resends, calls.DuplicateShare, calls.Timeout = 1, 0.02, 6*time.Second
	duration := cutDuration(t)
	var cutStart, cutEnd, observationEnd int64
	runDuringLoad(t, calls, func() {
		awaitAllRoutes(t, file, journal.Nanotime())
		paths.cutRegions(t, relay.Both)
		cutStart = journal.Nanotime()
		end := time.Now().Add(duration)
		ids := applyDuringCut(t, c)
		time.Sleep(time.Until(end))
		accepted, _ := readSection(t, c.Operator(t), measuringSection)
		paths.cutRegions(t, relay.None)
		cutEnd = journal.Nanotime()
		awaitAllRoutes(t, file, cutEnd)
		harness.Eventually(t, timeout, "the far replica catches up", func() bool {
			return c.Operator(t).DocumentAt(c.Setup.Controls[2].Name).GetRevision() >= accepted
		})
		checkDecidedOnce(t, c.Operator(t), ids)
		if duration > defaultCut {
			time.Sleep(recoveryBound + extraObservation - time.Duration(journal.Nanotime()-cutEnd))
		}
		observationEnd = journal.Nanotime()
	})
	c.CheckSafety(t, file)
	checkCallsDuringCut(t, file, cutStart, cutEnd, observationEnd)
}

func startRegionServers(t *testing.T, p *regionPaths) {
	t.Helper()
	for _, s := range []struct {
		service string
		place   localsetup.Place
	}{
		{harness.Catalogue, nearPlace1}, {harness.Catalogue, nearPlace2}, {harness.Catalogue, farPlace1},
		{harness.Ledger, nearPlace1}, {harness.Ledger, nearPlace2}, {harness.Vault, nearPlace1}, {archive, farPlace1},
	} {
		g := p.startServers(t, s.service, s.place, 3)
		harness.Eventually(t, timeout, g.Name+" registered", g.Registered)
	}
}

// applyDuringCut applies changes at the majority and waits until the lease of the cut-off gateway must have expired. It
// then checks that this gateway refuses every request and reports that it is not ready, so that the platform's balancer
// removes it. It returns the IDs of the changes.
func applyDuringCut(t *testing.T, c *harness.Cluster) []string {
	t.Helper()
	expired := time.Now().Add(api.ConfigurationLease + api.LeaseMargin)
	ids := applyChanges(t, c.Operator(t), 0, 3)
	time.Sleep(time.Until(expired))
	far, near := gatewayIn(t, c, harness.FarRegion), gatewayIn(t, c, harness.NearRegion)
	for range refusedCalls {
		if status := harness.GetStatusAsCaller(t, "http://"+far.Callers+harness.CataloguePath, http.Header{}); status != http.StatusServiceUnavailable {
			t.Fatalf("the cut-off gateway answered %d after its lease expired", status)
		}
	}
	if harness.IsReady(far) {
		t.Error("the cut-off gateway still reports to the platform's balancer that it is ready")
	}
	harness.Eventually(t, timeout, "the majority serves", func() bool {
		return harness.GetStatusAsCaller(t, "http://"+near.Callers+harness.CataloguePath, http.Header{}) == http.StatusOK
	})
	return ids
}

// route is a request path together with the gateway that receives the request.
type route struct{ gateway, path string }

func routeOf(c journal.Call) route { return route{c.Gateway, c.Path} }

// isOutsideHomeRegions reports whether the gateway refused a request because it is not in one of the home regions of the
// request.
func isOutsideHomeRegions(c journal.Call) bool {
	return c.Reason == "home_region" && c.Ran == journal.RanNo
}

// isDecidedByOtherAttempt reports whether another attempt of the same request determined the response.
func isDecidedByOtherAttempt(c journal.Call) bool {
	return slices.Contains([]string{"key_in_progress", "already_run", "outcome_unknown"}, c.Reason)
}

// awaitAllRoutes waits until each route that can be served has answered a request sent at or after the given time.
func awaitAllRoutes(t *testing.T, file string, after int64) {
	t.Helper()
	const routes = 3*4 - 1 // three gateways and four services, except the vault at the far gateway
	harness.Eventually(t, timeout, "an answer on every route", func() bool {
		served := map[route]bool{}
		readCalls(t, file, func(call journal.Call) {
			if call.SentAt >= after && call.Outcome == journal.OK {
				served[routeOf(call)] = true
			}
		})
		return len(served) == routes
	})
}

func readCalls(t *testing.T, file string, visit func(journal.Call)) {
	t.Helper()
	if err := journal.Read(file, visit); err != nil {
		t.Fatal(err)
	}
}

// cutCounts counts the calls sent since the beginning of the cut by the region of their gateway.
type cutCounts struct {
	// nearOK and nearTotal count the calls at gateways of the majority whose service has servers there.
	nearOK, nearTotal int
	// crossRegion counts the calls at the majority whose service has servers only in the cut-off region, by outcome.
	crossRegion map[string]int
	// farRefused counts the calls that the cut-off gateway refused after its lease had expired. farUnexpected counts
	// those that it answered in another way, by outcome.
	farRefused    int
	farUnexpected map[string]int
	// lastFarOK is the time from the beginning of the cut to the last call that the cut-off gateway served. lastFailure
	// is the time from the end of the cut to the last call that failed.
	lastFarOK, lastFailure time.Duration
	// failures counts the calls since the end of the cut that failed, by outcome.
	failures map[string]int
}

// checkCallsDuringCut checks each call by the times at which it was sent and answered. It ignores calls that were still
// in flight at observationEnd, because the end of the load cancels them.
func checkCallsDuringCut(t *testing.T, file string, cutStart, cutEnd, observationEnd int64) {
	t.Helper()
	tally := cutCounts{farUnexpected: map[string]int{}, crossRegion: map[string]int{}, failures: map[string]int{}}
	readCalls(t, file, func(call journal.Call) {
		switch {
		case isOutsideHomeRegions(call) || isDecidedByOtherAttempt(call) || call.SentAt < cutStart || call.OutcomeAt >= observationEnd:
		case call.SentAt >= cutEnd:
			if call.Outcome != journal.OK {
				tally.lastFailure = max(tally.lastFailure, time.Duration(call.SentAt-cutEnd))
				tally.failures[string(call.Outcome)+" "+call.Reason]++
			}
		case call.GatewayRegion == harness.FarRegion:
			tally.countFar(call, cutStart, cutEnd)
		case call.Path == archivePath:
			tally.crossRegion[string(call.Outcome)+" "+call.Reason+" "+call.Ran]++
		default:
			tally.nearTotal++
			if call.Outcome == journal.OK {
				tally.nearOK++
			}
		}
	})
	t.Logf("cut of %s: %+v", time.Duration(cutEnd-cutStart), tally)
	if tally.nearOK < tally.nearTotal/2 {
		t.Errorf("the majority served %d of %d calls during the cut", tally.nearOK, tally.nearTotal)
	}
	if len(tally.farUnexpected) > 0 {
		t.Errorf("later than %s after the beginning of the cut, the cut-off gateway answered %v", api.ConfigurationLease, tally.farUnexpected)
	}
	if tally.farRefused == 0 {
		t.Error("no call reached the cut-off gateway after its lease had expired")
	}
	if tally.lastFailure > recoveryBound {
		t.Errorf("a call failed %s after the end of the cut", tally.lastFailure)
	}
}

// countFar checks and counts a call that the cut-off gateway received during the cut. A lease starts when its renewal
// is sent, so no confirmed lease starts after the beginning of the cut. Calls that were answered after the end of the
// cut prove nothing.
func (a *cutCounts) countFar(call journal.Call, cutStart, cutEnd int64) {
	since := time.Duration(call.SentAt - cutStart)
	if call.Outcome == journal.OK {
		a.lastFarOK = max(a.lastFarOK, since)
	}
	if since <= api.ConfigurationLease || call.OutcomeAt >= cutEnd {
		return
	}
	if call.Outcome != journal.Refused || call.Reason != "configuration_stale" || call.Ran != journal.RanNo {
		a.farUnexpected[string(call.Outcome)+" "+call.Reason+" "+call.Ran]++
		return
	}
	a.farRefused++
}
