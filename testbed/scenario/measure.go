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

// gauges are sums over servers and gateways at one moment.
type gauges struct {
	at time.Time
	// arrived counts requests that reached servers of the main service.
	arrived int64
	busy    time.Duration
	runs    int64
	retries float64
	hedges  float64
	// denied counts what the budget of measuring did not permit, by kind.
	denied map[string]float64
	// within and across are the bytes of measuring of each gateway.
	within []float64
	across []float64
	peak   float64
	over   int64
}

func (r *run) gauge() gauges {
	g := gauges{at: time.Now(), denied: map[string]float64{}}
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

// addCounter takes a counter with one label, "NAME{LABEL="VALUE"}".
func (g *gauges) addCounter(name string, v float64) {
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

func (g *gauges) addServer(c backend.Counts) {
	g.arrived += c.Started + c.Shed + c.Failed
	g.runs += c.Started
	g.busy += time.Duration(c.BusyNs)
	g.peak = max(g.peak, c.ColdPeak)
	g.over += c.ColdOverCapacity
}

// metrics reads the counters and gauges of a gateway.
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

// row gathers the figures of the run. Attempts and work times are left out if servers were restarted, because those
// began their counts anew.
func (r *run) row(measured, aside load.Summary, before, after gauges) Row {
	d, seconds := r.setup.deployment, after.at.Sub(before.at).Seconds()
	row := Row{
		Deployment: d.Name, Scenario: r.scenario.Name,
		P50: measured.P50 / 1000, P99: measured.P99 / 1000, P999: measured.P999 / 1000,
		P99All:   min(measured.P99All/1000, d.deadline().Seconds()*1000),
		Requests: measured.Requests, Refused: measured.RefusedNotRun, Failed: measured.Failed + measured.Unknown,
		Reasons:  measured.Reasons,
		Goodput:  float64(measured.OK) / measured.Seconds / d.capacity(),
		ColdPeak: after.peak, ColdOver: after.over,
		SideFailed: aside.RefusedNotRun + aside.Failed + aside.Unknown, SideP99: aside.P99 / 1000,
	}
	for kind, v := range after.denied {
		if v -= before.denied[kind]; v > 0 {
			r.note(fmt.Sprintf("denied by the budget of measuring, all gateways: %.0f of {%s", v, kind))
		}
	}
	r.notes = append(r.notes, r.coldNotes()...)
	all := float64(measured.Requests + aside.Requests)
	row.Retries = (after.retries - before.retries) / all
	row.Hedges = (after.hedges - before.hedges) / all
	if runs := after.runs - before.runs; !r.lost && runs > 0 {
		work := (after.busy - before.busy).Seconds() / float64(runs)
		row.Attempts = float64(after.arrived-before.arrived) / float64(measured.Requests)
		row.MeasuredGoodput = float64(measured.OK) / measured.Seconds * work / float64(d.Workers*d.Slots)
	}
	for i := range after.within {
		row.Within = max(row.Within, (after.within[i]-before.within[i])/seconds)
		row.Across = max(row.Across, (after.across[i]-before.across[i])/seconds)
	}
	return row
}

// coldNotes tells how the servers in a cold start compare with what they bore, with the first records of each.
func (r *run) coldNotes() []string {
	const most = 5
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
			if records++; records <= most {
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

// shareWindow is the time over which the share of a domain is measured.
const shareWindow = 250 * time.Millisecond

// times finds in the journals when the domain received its last request, when it received the first again and when it
// had half of its former share, and how long callers saw failures after the domain left.
func (r *run) times(row *Row, began int64) {
	row.EmptyAfter, row.FirstAfter, row.HalfAfter, row.FailingFor = -1, -1, -1, -1
	last := r.unanswered(began)
	if r.left == 0 {
		return
	}
	row.FailingFor = max(0, time.Duration(last-r.left).Seconds())
	starts, final, first := []int64{}, r.left, int64(0)
	for _, g := range r.setup.in(r.domain) {
		if g.Service != mainService {
			continue
		}
		err := journal.Read(g.Journal, func(x journal.ServerEvent) {
			if x.Event != journal.Started || x.At < began {
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
	row.HalfAfter = r.halfAfter(starts, began)
}

// halfAfter is the time from the return until the domain receives half of its former rate, -1 if it never does.
func (r *run) halfAfter(starts []int64, began int64) float64 {
	former, windows := 0, map[int64]int{}
	for _, at := range starts {
		if at < r.left {
			former++
		}
		if at >= r.returned {
			windows[(at-r.returned)/int64(shareWindow)]++
		}
	}
	rate := float64(former) / time.Duration(r.left-began).Seconds()
	for i := range int64(r.scenario.Length / shareWindow) {
		if float64(windows[i]) >= rate*shareWindow.Seconds()/2 {
			return (time.Duration(i+1) * shareWindow).Seconds()
		}
	}
	return -1
}

// unanswered notes the calls that failed or were refused, and returns the time of the last; 0 without any.
func (r *run) unanswered(began int64) (last int64) {
	err := journal.Read(r.callsFile("main"), func(c journal.Call) {
		if c.Outcome == journal.OK && c.Status < http.StatusInternalServerError {
			return
		}
		last = max(last, c.OutcomeAt)
		r.note(fmt.Sprintf("not answered: %s: %s %s %s, sent %.0f ms after the start of the load, told after %.1f ms by the gateway at %s in %s",
			c.Request, c.Outcome, c.Reason, c.Failure, time.Duration(c.SentAt-began).Seconds()*1000,
			time.Duration(c.OutcomeAt-c.SentAt).Seconds()*1000, c.Gateway, c.GatewayRegion))
	})
	if err != nil {
		r.t.Error(err)
	}
	return last
}
