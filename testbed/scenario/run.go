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

// run is the execution of one scenario with one selection.
type run struct {
	t           testing.TB
	setup       *setup
	scenario    Scenario
	seed        uint64
	random      *rand.Rand
	start       time.Time
	extraFaults sync.WaitGroup

	// domain is the failure domain that leaves. left and returned are readings of journal.Nanotime, or 0 if it did not
	// leave or return.
	domain   string
	left     int64
	returned int64
	// lost is set if the domain leaves without notice.
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
	r.load(mainPath, "warm-up", defaultLoad*d.capacity(), warmUp, seed+1)
	before := r.takeSnapshot()
	r.start = time.Now()
	startedAt := journal.Nanotime()
	var measured, side load.Summary
	var loads sync.WaitGroup
	loads.Go(func() { measured = r.load(mainPath, "main", s.Load*d.capacity(), s.Duration, seed) })
	loads.Go(func() { side = r.load(sidePath, "side", sideRate, s.Duration, seed+2) })
	loads.Go(r.sampleEvidence)
	s.faults(r)
	r.extraFaults.Wait()
	loads.Wait()
	r.noteLogEvents()
	row := r.newRow(measured, side, before, r.takeSnapshot())
	row.Baseline = baseline
	r.addTimes(&row, startedAt)
	row.Notes = r.notes
	return row
}

// load sends requests at the given mean rate and waits until all have ended. It runs concurrently with the faults, so
// it reports errors without ending the run.
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

// waitUntil waits until the given time after the start of the load.
func (r *run) waitUntil(after time.Duration) { time.Sleep(time.Until(r.start.Add(after))) }

func (r *run) pause(d time.Duration) { time.Sleep(d) }

func (r *run) isRunning() bool { return time.Since(r.start) < r.scenario.Duration }

func (r *run) now() int64 { return journal.Nanotime() }

func (r *run) since(moment int64) time.Duration { return time.Duration(journal.Nanotime() - moment) }

func (r *run) note(text string) {
	r.notesMu.Lock()
	defer r.notesMu.Unlock()
	r.notes = append(r.notes, text)
}

// forEachVictim calls f with the address of each victim.
func (r *run) forEachVictim(f func(address string)) {
	servers := r.setup.servers()
	for _, i := range victims {
		f(servers[i])
	}
}

// addFaults runs further faults concurrently with those of the scenario.
func (r *run) addFaults(faults func(*run)) { r.extraFaults.Go(func() { faults(r) }) }
