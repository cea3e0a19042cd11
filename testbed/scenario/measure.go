package scenario

import (
	"bufio"
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
	// within and across are the bytes of measuring of each gateway.
	within []float64
	across []float64
	peak   float64
	over   int64
}

func (r *run) gauge() gauges {
	g := gauges{at: time.Now()}
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
			if !strings.HasPrefix(name, "heatherwall_retries_total") {
				continue
			}
			if strings.Contains(name, `"hedge"`) {
				g.hedges += v
			} else {
				g.retries += v
			}
		}
	}
	return g
}

func (g *gauges) addServer(c backend.Counts) {
	g.arrived += c.Started + c.Shed + c.Failed
	g.runs += c.Started
	g.busy += time.Duration(c.BusyNs)
	g.peak = max(g.peak, c.ColdPeak)
	g.over += c.ColdOver
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

// row gathers the figures of the run. Servers that were restarted begin their counts anew, so attempts are counted from
// the gateways' counters.
func (r *run) row(measured, aside load.Summary, before, after gauges) Row {
	d, seconds := r.setup.deployment, after.at.Sub(before.at).Seconds()
	row := Row{
		Deployment: d.Name, Scenario: r.scenario.Name,
		P50: measured.P50 / 1000, P99: measured.P99 / 1000, P999: measured.P999 / 1000,
		Requests: measured.Requests, Refused: measured.RefusedNotRun, Failed: measured.Failed + measured.Unknown,
		Reasons:  measured.Reasons,
		Goodput:  float64(measured.OK) / measured.Seconds / d.capacity(),
		ColdPeak: after.peak, ColdOver: after.over,
		SideFailed: aside.RefusedNotRun + aside.Failed + aside.Unknown, SideP99: aside.P99 / 1000,
		Notes: r.notes,
	}
	all := float64(measured.Requests + aside.Requests)
	row.Retries = (after.retries - before.retries) / all
	row.Hedges = (after.hedges - before.hedges) / all
	if runs := after.runs - before.runs; runs > 0 && after.busy > before.busy {
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

func (r *run) callsFile(name string) string {
	return filepath.Join(r.setup.cluster.Folder, name+".calls")
}

// shareWindow is the time over which the share of a domain is measured.
const shareWindow = 250 * time.Millisecond

// times finds in the journals when the domain received its last request, when it received the first again and when it
// had half of its former share, and how long callers saw failures after the domain left.
func (r *run) times(row *Row, began int64) {
	row.EmptyAfter, row.FirstAfter, row.HalfAfter, row.FailingFor = -1, -1, -1, -1
	if r.left == 0 {
		return
	}
	starts, last, first := []int64{}, r.left, int64(0)
	for _, g := range r.setup.in(r.domain) {
		if g.Service != mainService {
			continue
		}
		err := journal.Read(g.Journal, func(x journal.Run) {
			if x.Event != journal.Started || x.At < began {
				return
			}
			starts = append(starts, x.At)
			switch {
			case x.At < r.returned:
				last = max(last, x.At)
			case first == 0 || x.At < first:
				first = x.At
			}
		})
		if err != nil {
			r.t.Error(err)
		}
	}
	row.EmptyAfter = time.Duration(last - r.left).Seconds()
	if first > 0 {
		row.FirstAfter = time.Duration(first - r.returned).Seconds()
	}
	row.HalfAfter = r.halfAfter(starts, began)
	row.FailingFor = r.failingFor()
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

// failingFor is the time from the moment the domain left to the last call that failed or was refused, 0 without any.
func (r *run) failingFor() float64 {
	last := r.left
	err := journal.Read(r.callsFile("main"), func(c journal.Call) {
		if c.Told != journal.OK || c.Status >= http.StatusInternalServerError {
			last = max(last, c.ToldAt)
			r.note("not answered: " + string(c.Told) + " " + c.Reason + " " + c.Failure + " at " +
				time.Duration(c.ToldAt-r.left).String() + " after the domain left, through " + c.Gateway)
		}
	})
	if err != nil {
		r.t.Error(err)
	}
	return time.Duration(last - r.left).Seconds()
}
