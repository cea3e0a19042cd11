package balance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Constants of the periodic work.
const (
	// hedgeQuantile is the quantile of the latencies after which a hedge is sent.
	hedgeQuantile = 0.92
	// typicalWeight is the weight of one tick's median in the typical work time. A gateway receives responses from a few
	// servers only, so that the median of one tick varies by a factor of two under noise.
	typicalWeight = 0.02
	// decayInterval is the interval at which the counts of latencies are halved.
	decayInterval = 500 * time.Millisecond
	// probeMargin is the time before the expiry of evidence at which a probe is requested.
	probeMargin = 700 * time.Millisecond
	// probeInterval is the shortest time between two requests to probe the same server.
	probeInterval = 500 * time.Millisecond
	// usageTimeout is the time without first attempts after which no probes are requested for a service.
	usageTimeout = 3 * time.Second
)

// Tick advances the engine's clock: it updates the typical values of each service, starts and ends ejections, reports
// fallbacks, and requests probes. Call it about every 20 ms.
func (e *Engine) Tick(now time.Duration) {
	e.now = max(e.now, now)
	decay := e.now-e.lastDecay >= decayInterval
	if decay {
		e.sinceDecay = e.now - e.lastDecay
		e.lastDecay = e.now
	}
	for _, name := range e.serviceNames {
		e.tickService(name, decay)
	}
}

func (e *Engine) tickService(name string, decay bool) {
	records, load := e.byService[name], e.services[name]
	e.updateTypical(records, load)
	e.updateEjections(records, load.typicalWork.load())
	e.reportFallbacks(records, load.typicalWork.load())
	e.requestProbes(name, records, load)
	if after, ok := load.latencies.quantile(hedgeQuantile); ok {
		load.hedgeAfter.store(after)
	}
	if decay {
		load.latencies.decay()
		e.updateRequestRate(name, load)
	}
}

// rateWeight is the weight of one interval in the request rate of a service.
const rateWeight = 0.1

// updateRequestRate updates the request rate of a service from the first attempts since the last call.
func (e *Engine) updateRequestRate(name string, load *serviceLoad) {
	n := load.firstAttempts.Load()
	rate := float64(n-e.countedAttempts[name]) / e.sinceDecay.Seconds()
	e.countedAttempts[name] = n
	if load.requestRate.load() == 0 {
		load.requestRate.store(rate)
		return
	}
	load.requestRate.blend(rate, rateWeight)
}

// updateTypical updates the typical work time from the median over the servers, which a few slow servers do not change,
// and the mean number of requests of other gateways at a server.
func (e *Engine) updateTypical(records []*serverRecord, load *serviceLoad) {
	e.workTimes = e.workTimes[:0]
	var others float64
	reports := 0
	for _, r := range records {
		if work := r.load.latency.unpenalized.load(); work > 0 {
			e.workTimes = append(e.workTimes, work)
		}
		if at := r.load.report.at.load(); at > 0 {
			others += r.load.report.others.load()
			reports++
		}
	}
	if len(e.workTimes) > 0 {
		slices.Sort(e.workTimes)
		median := e.workTimes[(len(e.workTimes)-1)/2]
		if load.typicalWork.load() == 0 {
			load.typicalWork.store(median)
		}
		load.typicalWork.blend(median, typicalWeight)
	}
	if reports > 0 {
		load.meanOthers.store(others / float64(reports))
	}
}

// reportFallbacks issues a notice once for each fallback, and one when the owner finds that it has ended: the server is
// warm, or the owner has not used it for long, and the server itself does not report a cold start.
func (e *Engine) reportFallbacks(records []*serverRecord, typicalWork float64) {
	e.dropExcessSuspicions(records)
	for _, r := range records {
		c := &r.load.cold
		suspected := c.suspectedAt.load() > 0
		reported := State(r.load.reportedState.Load()) == StateCold
		if r.server.State == StateReady && (suspected || reported) && !c.noticeSent.Swap(true) {
			e.addNotice(NoticeFallback, r)
		}
		cold := suspected || r.server.State == StateCold
		ended := e.isWarm(r, typicalWork) || c.isUnused(e.now)
		if cold && !reported && r.server.Owned && ended {
			c.suspectedAt.store(0)
			e.addNotice(NoticeFallbackEnded, r)
		}
	}
}

// isWarm reports whether the limit has risen to the server's slots, and the server is as fast as usual or has been
// limited for longer than maxFallback.
func (e *Engine) isWarm(r *serverRecord, typicalWork float64) bool {
	c := &r.load.cold
	full := c.limit() >= slotCount(r.server)
	return full && (c.isUsualSpeed(typicalWork) || e.now-c.limitResetAt.load() > maxFallback)
}

// dropExcessSuspicions clears suspicions while more than one in ejectionDivisor servers of a service are cold or suspected.
// Overload is then the likelier cause, and limits would make it worse.
func (e *Engine) dropExcessSuspicions(records []*serverRecord) {
	cold := 0
	for _, r := range records {
		if r.server.State == StateCold {
			cold++
		}
	}
	for _, r := range records {
		c := &r.load.cold
		if r.server.State != StateReady || c.suspectedAt.load() == 0 {
			continue
		}
		if cold++; cold > len(records)/ejectionDivisor {
			c.suspectedAt.store(0)
		}
	}
}

// requestProbes issues notices to probe the servers of a service in use whose evidence expires soon.
func (e *Engine) requestProbes(name string, records []*serverRecord, load *serviceLoad) {
	use := e.usageByService[name]
	if n := load.firstAttempts.Load(); n != use.firstAttempts {
		use = serviceUsage{firstAttempts: n, lastUsed: e.now, used: true}
		e.usageByService[name] = use
	}
	if !use.used || e.now-use.lastUsed > usageTimeout {
		return
	}
	for _, r := range records {
		if !e.isSelectable(r) || r.load.final.Load() != 0 || e.now < r.load.pausedUntil.load() || e.now-r.load.evidenceAt.load() < e.config.EvidenceLifetime-probeMargin {
			continue
		}
		if r.probed && e.now-r.probedAt < probeInterval {
			continue
		}
		r.probed, r.probedAt = true, e.now
		e.addNotice(NoticeProbeWanted, r)
	}
}

func (e *Engine) addNotice(k NoticeKind, r *serverRecord) {
	e.notices = append(e.notices, Notice{
		Kind: k, Service: r.server.Service, Address: r.server.Address, Incarnation: r.server.Incarnation,
	})
}

// indexByService groups the records by service, and sorts the services by name and their servers by address. The servers
// of a gateway with a name are sorted by its own rank first, which is the order in which it probes them: a hash, so that
// each server is preferred by some gateways.
func (e *Engine) indexByService() {
	e.byService = map[string][]*serverRecord{}
	for _, r := range e.servers {
		e.byService[r.server.Service] = append(e.byService[r.server.Service], r)
	}
	e.serviceNames = e.serviceNames[:0]
	for name, list := range e.byService {
		slices.SortFunc(list, e.compareRecords)
		e.serviceNames = append(e.serviceNames, name)
		e.ensureService(name)
	}
	slices.Sort(e.serviceNames)
}

func (e *Engine) compareRecords(a, b *serverRecord) int {
	if e.config.Name != "" && a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	return strings.Compare(a.server.Address, b.server.Address)
}
