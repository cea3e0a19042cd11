package balance

import (
	"slices"
	"strings"
	"time"
)

// Constants of the periodic work.
const (
	// hedgeQuantile is the latency quantile after which a hedge is sent.
	hedgeQuantile = 0.92
	// typicalWeight moves the typical work time at each tick. A gateway hears of a few servers only, so that the median of
	// one tick varies by a factor of two under noise.
	typicalWeight = 0.02
	// fadeInterval is the time after which the weight of counted latencies is halved.
	fadeInterval = 500 * time.Millisecond
	// probeMargin is the time before the end of evidence at which a probe is wanted.
	probeMargin = 700 * time.Millisecond
	// probeInterval is the shortest time between two wishes to probe a server.
	probeInterval = 500 * time.Millisecond
	// useInterval is the time without requests after which a service needs no evidence.
	useInterval = 3 * time.Second
)

// Tick advances the engine's clock: it renews the typical values of each service, ejects and returns servers, and asks
// for probes. Call it about every 20 ms.
func (e *Engine) Tick(now time.Duration) {
	e.now = max(e.now, now)
	fade := e.now-e.lastFade >= fadeInterval
	if fade {
		e.lastFade = e.now
	}
	for _, name := range e.serviceNames {
		e.tickService(name, fade)
	}
}

func (e *Engine) tickService(name string, fade bool) {
	records, load := e.byService[name], e.services[name]
	e.renewTypical(records, load)
	e.eject(records, load.typical.load())
	e.passFallbacks(records, load.typical.load())
	e.wantProbes(name, records, load)
	if after, ok := load.latencies.quantile(hedgeQuantile); ok {
		load.hedgeAfter.store(after)
	}
	if fade {
		load.latencies.fade()
	}
}

// renewTypical takes the median work time, which a few slow servers cannot move.
func (e *Engine) renewTypical(records []*record, load *serviceLoad) {
	e.works = e.works[:0]
	var others float64
	reports := 0
	for _, r := range records {
		if work := r.load.latency.usual.load(); work > 0 {
			e.works = append(e.works, work)
		}
		if at := r.load.report.at.load(); at > 0 {
			others += r.load.report.others.load()
			reports++
		}
	}
	if len(e.works) > 0 {
		slices.Sort(e.works)
		median := e.works[(len(e.works)-1)/2]
		if load.typical.load() == 0 {
			load.typical.store(median)
		}
		load.typical.blend(median, typicalWeight)
	}
	if reports > 0 {
		load.typicalOthers.store(others / float64(reports))
	}
}

// passFallbacks reports fallbacks to the gateway once, and their end: the owner's limit has risen to the server's slots,
// or the owner has no use for the server, and the server itself does not report a cold start.
func (e *Engine) passFallbacks(records []*record, typical float64) {
	e.capSuspicions(records)
	for _, r := range records {
		c := &r.load.cold
		suspected := c.fallback.load() > 0
		reported := State(r.load.reported.Load()) == StateCold
		if r.server.State == StateReady && (suspected || reported) && !c.told.Swap(true) {
			e.notice(NoticeFallback, r)
		}
		cold := suspected || r.server.State == StateCold
		ended := e.isWarm(r, typical) || c.isUnused(e.now)
		if cold && !reported && r.server.Owned && ended {
			c.fallback.store(0)
			e.notice(NoticeFallbackEnded, r)
		}
	}
}

// isWarm reports whether the owner's limit has risen to the server's slots, and the server is as fast as usual or has
// been limited for long.
func (e *Engine) isWarm(r *record, typical float64) bool {
	c := &r.load.cold
	full := c.limit() >= slots(r.server)
	return full && (c.isFast(typical) || e.now-c.begun.load() > longestFallback)
}

// capSuspicions drops suspicions when too many servers of a service are cold: then the load is the likelier cause, and
// limits would make it worse.
func (e *Engine) capSuspicions(records []*record) {
	cold := 0
	for _, r := range records {
		if r.server.State == StateCold {
			cold++
		}
	}
	for _, r := range records {
		c := &r.load.cold
		if r.server.State != StateReady || c.fallback.load() == 0 {
			continue
		}
		if cold++; cold > len(records)/ejectedShare {
			c.fallback.store(0)
		}
	}
}

// wantProbes asks for evidence of servers that requests may soon need.
func (e *Engine) wantProbes(name string, records []*record, load *serviceLoad) {
	use := e.uses[name]
	if n := load.first.Load(); n != use.first {
		use = usage{first: n, at: e.now, used: true}
		e.uses[name] = use
	}
	if !use.used || e.now-use.at > useInterval {
		return
	}
	for _, r := range records {
		if !e.mayReceive(r) || e.now-r.load.evidence.load() < e.config.EvidenceLifetime-probeMargin {
			continue
		}
		if r.probed && e.now-r.probedAt < probeInterval {
			continue
		}
		r.probed, r.probedAt = true, e.now
		e.notice(NoticeProbeWanted, r)
	}
}

func (e *Engine) notice(k NoticeKind, r *record) {
	e.notices = append(e.notices, Notice{
		Kind: k, Service: r.server.Service, Address: r.server.Address, Incarnation: r.server.Incarnation,
	})
}

// index groups the records by service, in the order of names and addresses.
func (e *Engine) index() {
	e.byService = map[string][]*record{}
	for _, r := range e.servers {
		e.byService[r.server.Service] = append(e.byService[r.server.Service], r)
	}
	e.serviceNames = e.serviceNames[:0]
	for name, list := range e.byService {
		slices.SortFunc(list, func(a, b *record) int { return strings.Compare(a.server.Address, b.server.Address) })
		e.serviceNames = append(e.serviceNames, name)
		e.service(name)
	}
	slices.Sort(e.serviceNames)
}
