package scenario

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
)

const (
	warmUp   = 3 * time.Second
	sideRate = 50
)

// run is one scenario with one selection.
type run struct {
	t        testing.TB
	setup    *setup
	scenario Scenario
	seed     uint64
	random   *rand.Rand
	start    time.Time
	beside   sync.WaitGroup

	// domain is the failure domain that leaves; left and returned are moments of the journal clock, 0 for never.
	domain   string
	left     int64
	returned int64
	// lost tells that the domain leaves without notice.
	lost bool

	notesMu sync.Mutex
	notes   []string
}

// Run measures one scenario with the shipped selection, or with the baseline.
func Run(t testing.TB, b harness.Binaries, d Deployment, s Scenario, baseline bool, seed uint64) Row {
	t.Helper()
	r := &run{
		t: t, scenario: s, seed: seed, random: rand.New(rand.NewPCG(seed, 2)),
		setup: newSetup(t, b, d, baseline, strconv.FormatUint(seed, 10)),
	}
	r.load(mainPath, "warm-up", usualLoad*d.capacity(), warmUp, seed+1)
	before := r.gauge()
	r.start = time.Now()
	began := journal.Nanotime()
	var measured, aside load.Summary
	var loads sync.WaitGroup
	loads.Go(func() { measured = r.load(mainPath, "main", s.Load*d.capacity(), s.Length, seed) })
	loads.Go(func() { aside = r.load(sidePath, "side", sideRate, s.Length, seed+2) })
	loads.Go(r.sampleEvidence)
	s.faults(r)
	r.beside.Wait()
	loads.Wait()
	r.logEvents()
	row := r.row(measured, aside, before, r.gauge())
	row.Baseline = baseline
	r.times(&row, began)
	row.Notes = r.notes
	return row
}

// load sends a load and waits for its end. It runs beside the faults, so it reports errors without ending the run.
func (r *run) load(path, name string, rate float64, length time.Duration, seed uint64) load.Summary {
	writer, err := journal.OpenWriter(r.callsFile(name))
	if err != nil {
		r.t.Error(err)
		return load.Summary{}
	}
	defer writer.Close()
	summary, err := load.Run(context.Background(), load.Options{
		Gateways: r.setup.cluster.LoadGateways(), Rate: rate, Requests: int(rate * length.Seconds()), Seed: seed,
		Targets: []load.Target{{Method: http.MethodGet, Path: path, Token: harness.Token, Weight: 1}},
		Timeout: 10 * time.Second, Journal: writer,
	})
	if err != nil {
		r.t.Error(err)
	}
	return summary
}

// until waits for a time after the start of the load.
func (r *run) until(after time.Duration) { time.Sleep(time.Until(r.start.Add(after))) }

func (r *run) pause(d time.Duration) { time.Sleep(d) }

func (r *run) underway() bool { return time.Since(r.start) < r.scenario.Length }

func (r *run) mark() int64 { return journal.Nanotime() }

func (r *run) since(moment int64) time.Duration { return time.Duration(journal.Nanotime() - moment) }

func (r *run) note(text string) {
	r.notesMu.Lock()
	defer r.notesMu.Unlock()
	r.notes = append(r.notes, text)
}

// each calls f for the victims.
func (r *run) each(f func(address string)) {
	servers := r.setup.servers()
	for _, i := range victims {
		f(servers[i])
	}
}

// alongside runs further faults beside those of the scenario.
func (r *run) alongside(faults func(*run)) { r.beside.Go(func() { faults(r) }) }
