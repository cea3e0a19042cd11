package scenario

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"heatherwall.example/testbed/backend"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
)

// snapshot holds counts of the servers and gateways at one moment. Unless noted otherwise they are sums.
type snapshot struct {
	at time.Time
	// arrived counts requests that reached servers of the main service.
	arrived int64
	busy    time.Duration
	runs    int64
	retries float64
	hedges  float64
	// denied counts what the measuring budget did not allow, by kind.
	denied map[string]float64
	// within and across are the measuring bytes of each gateway, within its region and across regions.
	within []float64
	across []float64
	// coldPeak is the maximum of backend.Counts.ColdPeak, coldOverCapacity the sum of ColdOverCapacity.
	coldPeak         float64
	coldOverCapacity int64
}

func (r *run) takeSnapshot() snapshot {
	g := snapshot{at: time.Now(), denied: map[string]float64{}}
	for _, group := range r.setup.main {
		for _, c := range group.Counts() {
			g.addServer(c)
		}
	}
	for _, i := range r.setup.cluster.Setup.Gateways {
		values := r.metrics("http://" + i.Admin + "/metrics")
		g.within = append(g.within, values["heatherwall_measuring_bytes_within_region"])
		g.across = append(g.across, values["heatherwall_measuring_bytes_across_regions"])
		for name, v := range values {
			g.addCounter(name, v)
		}
	}
	return g
}

// addCounter adds a counter with one label, whose name has the form NAME{LABEL="VALUE"}.
func (g *snapshot) addCounter(name string, v float64) {
	family, label, _ := strings.Cut(name, "{")
	switch {
	case family == "heatherwall_measuring_denied_total":
		g.denied[label] += v
	case family != "heatherwall_retries_total":
	case strings.Contains(label, `"hedge"`):
		g.hedges += v
	default:
		g.retries += v
	}
}

func (g *snapshot) addServer(c backend.Counts) {
	g.arrived += c.Started + c.Shed + c.Failed
	g.runs += c.Started
	g.busy += time.Duration(c.BusyNs)
	g.coldPeak = max(g.coldPeak, c.ColdPeak)
	g.coldOverCapacity += c.ColdOverCapacity
}

// metrics returns the counters and gauges of a gateway.
func (r *run) metrics(address string) map[string]float64 {
	values := map[string]float64{}
	response, err := faultClient.Get(address)
	if err != nil {
		r.t.Errorf("metrics: %v", err)
		return values
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.t.Errorf("metrics: status %d", response.StatusCode)
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = v
		}
	}
	return values
}

// newRow returns the figures of the run. It omits attempts and work times if servers were restarted, because a restart
// resets their counts.
func (r *run) newRow(measured, side load.Summary, before, after snapshot) Row {
	d, seconds := r.setup.deployment, after.at.Sub(before.at).Seconds()
	row := Row{
		Deployment: d.Name, Scenario: r.scenario.Name,
		P50: measured.P50 / 1000, P99: measured.P99 / 1000, P999: measured.P999 / 1000,
		P99All:   min(measured.P99All/1000, d.deadline().Seconds()*1000),
		Requests: measured.Requests, Refused: measured.RefusedNotRun, Failed: measured.Failed + measured.Unknown,
		Reasons:  measured.Reasons,
		Goodput:  float64(measured.OK) / measured.Seconds / d.capacity(),
		ColdPeak: after.coldPeak, ColdOverCapacity: after.coldOverCapacity,
		SideFailed: side.RefusedNotRun + side.Failed + side.Unknown, SideP99: side.P99 / 1000,
	}
	for kind, v := range after.denied {
		if v -= before.denied[kind]; v > 0 {
			r.note(fmt.Sprintf("denied by the measuring budget, all gateways: %.0f of {%s", v, kind))
		}
	}
	r.notes = append(r.notes, r.coldNotes()...)
	all := float64(measured.Requests + side.Requests)
	row.Retries = (after.retries - before.retries) / all
	row.Hedges = (after.hedges - before.hedges) / all
	if runs := after.runs - before.runs; !r.lost && runs > 0 {
		work := (after.busy - before.busy).Seconds() / float64(runs)
		row.Attempts = float64(after.arrived-before.arrived) / float64(measured.Requests)
		row.MeasuredGoodput = float64(measured.OK) / measured.Seconds * work / float64(d.Workers*d.Slots)
	}
	for i := range after.within {
		row.WithinRegion = max(row.WithinRegion, (after.within[i]-before.within[i])/seconds)
		row.AcrossRegions = max(row.AcrossRegions, (after.across[i]-before.across[i])/seconds)
	}
	return row
}

// coldNotes describes how the load of the servers in cold start compares with their capacity. It includes the first
// records of each group of servers.
func (r *run) coldNotes() []string {
	const maxRecords = 5
	var notes []string
	for _, g := range r.setup.main {
		counts := g.Counts()
		for i, c := range counts {
			if c.ColdPeak > 0 {
				notes = append(notes, fmt.Sprintf("cold server %s in %s: peak %.2f, over %d", g.Addresses[i], g.Place.FailureDomain, c.ColdPeak, c.ColdOverCapacity))
			}
		}
		records := 0
		err := journal.Read(g.Journal, func(x journal.ServerEvent) {
			if x.Event != journal.OverCapacity {
				return
			}
			if records++; records <= maxRecords {
				notes = append(notes, x.Server+": "+x.Detail)
			}
		})
		if err != nil {
			r.t.Error(err)
		}
	}
	return notes
}

func (r *run) callsFile(name string) string {
	return filepath.Join(r.setup.cluster.Folder, name+".calls")
}

// shareWindow is the interval over which a domain's share of the requests is measured.
const shareWindow = 250 * time.Millisecond

// addTimes sets the times of the row from the journals: when the domain received its last request, when it received the
// first one after its return and when it had half of its former share again, and for how long callers saw failures after
// the domain left.
func (r *run) addTimes(row *Row, startedAt int64) {
	row.EmptyAfter, row.FirstAfter, row.HalfAfter, row.FailingFor = -1, -1, -1, -1
	last := r.noteUnanswered(startedAt)
	if r.left == 0 {
		return
	}
	row.FailingFor = max(0, time.Duration(last-r.left).Seconds())
	starts, final, first := []int64{}, r.left, int64(0)
	for _, g := range r.setup.groupsIn(r.domain) {
		if g.Service != mainService {
			continue
		}
		err := journal.Read(g.Journal, func(x journal.ServerEvent) {
			if x.Event != journal.Started || x.At < startedAt {
				return
			}
			starts = append(starts, x.At)
			switch {
			case x.At < r.returned:
				final = max(final, x.At)
			case first == 0 || x.At < first:
				first = x.At
			}
		})
		if err != nil {
			r.t.Error(err)
		}
	}
	row.EmptyAfter = time.Duration(final - r.left).Seconds()
	if first > 0 {
		row.FirstAfter = time.Duration(first - r.returned).Seconds()
	}
	row.HalfAfter = r.halfAfter(starts, startedAt)
}

// halfAfter returns the time in seconds from the return of the domain until it receives half of its former rate of
// requests, or -1 if it never does.
func (r *run) halfAfter(starts []int64, startedAt int64) float64 {
	former, windows := 0, map[int64]int{}
	for _, at := range starts {
		if at < r.left {
			former++
		}
		if at >= r.returned {
			windows[(at-r.returned)/int64(shareWindow)]++
		}
	}
	rate := float64(former) / time.Duration(r.left-startedAt).Seconds()
	for i := range int64(r.scenario.Duration / shareWindow) {
		if float64(windows[i]) >= rate*shareWindow.Seconds()/2 {
			return (time.Duration(i+1) * shareWindow).Seconds()
		}
	}
	return -1
}

// noteUnanswered adds a note for each call that failed or was refused. It returns the time of the last such outcome, or
// 0 if there is none.
func (r *run) noteUnanswered(startedAt int64) (last int64) {
	err := journal.Read(r.callsFile("main"), func(c journal.Call) {
		if c.Outcome == journal.OK && c.Status < http.StatusInternalServerError {
			return
		}
		last = max(last, c.OutcomeAt)
		r.note(fmt.Sprintf("not answered: %s: %s %s %s, sent %.0f ms after the start of the load, outcome after %.1f ms from the gateway at %s in %s",
			c.Request, c.Outcome, c.Reason, c.Failure, time.Duration(c.SentAt-startedAt).Seconds()*1000,
			time.Duration(c.OutcomeAt-c.SentAt).Seconds()*1000, c.Gateway, c.GatewayRegion))
	})
	if err != nil {
		r.t.Error(err)
	}
	return last
}
