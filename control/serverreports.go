package control

import (
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"
	"heatherwall.example/telemetry"
)

const (
	// lostReports is the number of report intervals without a report after which a server counts as lost. Reports may
	// arrive seconds late, and gateways avoid a server that does not answer long before.
	lostAfterReportIntervals = 6
	// expiryInterval is the time between two looks for lost servers.
	expiryCheckInterval = time.Second
	// coldSlack is how much later than expected a cold start may end before it is taken for a new one.
	coldStartTolerance = 500 * time.Millisecond
	// silentHolderTicks is the silence of a replica, in ticks, after which the leader looks after its servers.
	holderLostAfterTicks = 50
)

// serverReports is what one replica heard from backend servers. It belongs to the loop. Reports that change nothing
// are only noted here; the log holds what other replicas and gateways must know.
type serverReports struct {
	received map[string]receivedReport
	// batch collects the reports of this turn of the loop; one entry carries them all.
	batch           []*statepb.ServerReport
	callbacks       []func(error)
	expiryCheckedAt time.Time
}

// heardServer is the last sign of life of a server.
type receivedReport struct {
	receivedAt time.Time
	// coldUntil is the expected end of its cold start.
	coldUntil time.Time
}

func newServerReports() *serverReports {
	return &serverReports{received: map[string]receivedReport{}}
}

// takeReport notes a report and calls done, at once if it changes nothing.
func (r *replica) handleReport(s *controlpb.BackendServer, done func(error)) {
	state := r.configuration.state
	if state.IsReportOutdated(s) {
		r.log.Log(eventReportOutdated, telemetry.F("server", s.GetId()), telemetry.F("incarnation", s.GetIncarnation()), telemetry.F("sequence", s.GetSequence()))
		done(nil)
		return
	}
	now := time.Now()
	known := state.BackendServer(s.GetId())
	before := r.servers.received[s.GetId()]
	r.servers.received[s.GetId()] = receivedReport{receivedAt: now, coldUntil: before.coldUntil}
	s.Holder = r.loop.self.Id
	if known != nil && isSameReport(known, s) && !before.isNewColdStart(now, known, s) {
		done(nil)
		return
	}
	r.log.Log(eventServerReported, telemetry.F("server", s.GetId()), telemetry.F("service", s.GetService()), telemetry.F("address", s.GetAddress()),
		telemetry.F("state", s.GetState().String()), telemetry.F("cold_ms", int(s.GetColdMs())), telemetry.F("incarnation", s.GetIncarnation()))
	coldUntil := now.Add(time.Duration(s.GetColdMs()) * time.Millisecond)
	r.servers.add(&statepb.ServerReport{Report: &statepb.ServerReport_Present{Present: s}}, func(err error) {
		if err == nil {
			// Only now do the gateways know of this cold start; until then the report must not pass for a repeated one.
			r.servers.received[s.GetId()] = receivedReport{receivedAt: now, coldUntil: coldUntil}
		}
		done(err)
	})
}

// isSameReport compares what gateways and other replicas must know, but for the rest of a cold start.
func isSameReport(a, b *controlpb.BackendServer) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetVersion() == b.GetVersion() && a.GetSlots() == b.GetSlots() &&
		a.GetState() == b.GetState() && a.GetHolder() == b.GetHolder() && (a.GetColdMs() > 0) == (b.GetColdMs() > 0)
}

// startsCold tells whether a cold server has fallen back into cold start since its last report.
func (h receivedReport) isNewColdStart(now time.Time, known, s *controlpb.BackendServer) bool {
	if s.GetColdMs() == 0 || known.GetColdMs() == 0 {
		return false
	}
	end := now.Add(time.Duration(s.GetColdMs()) * time.Millisecond)
	return h.coldUntil.IsZero() || end.Sub(h.coldUntil) > coldStartTolerance
}

// takeLeave ends a server and calls done once that is committed.
func (r *replica) handleLeave(id string, incarnation uint64, done func(error)) {
	if incarnation == 0 {
		known := r.configuration.state.BackendServer(id)
		if known == nil {
			done(nil)
			return
		}
		incarnation = known.GetIncarnation()
	}
	end := &statepb.ServerEnd{Id: id, Incarnation: incarnation}
	r.servers.add(&statepb.ServerReport{Report: &statepb.ServerReport_Ended{Ended: end}}, done)
}

func (s *serverReports) add(report *statepb.ServerReport, done func(error)) {
	s.batch = append(s.batch, report)
	s.callbacks = append(s.callbacks, done)
}

// flushServerReports proposes what this turn of the loop collected.
func (r *replica) flushServerReports() {
	s := r.servers
	if len(s.batch) == 0 {
		return
	}
	callbacks := s.callbacks
	entry := controlstate.EncodeServerReportsEntry(s.batch)
	s.batch, s.callbacks = nil, nil
	r.loop.groups[configurationGroup].proposeOrForward(entry, func(_ any, err error) {
		for _, done := range callbacks {
			done(err)
		}
	})
}

// expireServers ends the servers that report to this replica and have been silent for long. The leader also looks after
// those of replicas that are gone or silent.
func (r *replica) expireSilentServers(now time.Time) {
	s := r.servers
	if r.settings.Catalogue == nil || now.Sub(s.expiryCheckedAt) < expiryCheckInterval {
		return
	}
	stalled := now.Sub(s.expiryCheckedAt) > 2*expiryCheckInterval
	s.expiryCheckedAt = now
	limit := lostAfterReportIntervals * r.settings.Catalogue.ReportInterval()
	isResponsible := r.responsibilityCheck()
	kept := make(map[string]receivedReport, len(s.received))
	for _, server := range r.configuration.state.BackendServers() {
		id := server.GetId()
		last, ok := s.received[id]
		if !isResponsible(server.GetHolder()) {
			continue
		}
		if !ok || stalled {
			// This process has not listened for the whole time: it just started, took over, or stood still.
			last.receivedAt = now
		}
		kept[id] = last
		if now.Sub(last.receivedAt) > limit {
			r.log.Log(eventServerLost, telemetry.F("server", id), telemetry.F("service", server.GetService()), telemetry.F("silent", now.Sub(last.receivedAt)))
			end := &statepb.ServerEnd{Id: id, Incarnation: server.GetIncarnation(), Lost: true, Changed: server.GetChanged()}
			s.add(&statepb.ServerReport{Report: &statepb.ServerReport_Ended{Ended: end}}, func(error) {})
		}
	}
	s.received = kept
}

// lookedAfter returns whether this replica looks after the servers that report to a replica.
func (r *replica) responsibilityCheck() func(holder uint64) bool {
	g := r.loop.groups[configurationGroup]
	st := g.node.Status()
	if !g.isLeader {
		return func(holder uint64) bool { return holder == g.self }
	}
	alive := map[uint64]bool{}
	for _, replica := range st.Replicas {
		alive[replica.ID] = replica.TicksSinceLastMessage < holderLostAfterTicks
	}
	return func(holder uint64) bool { return holder == g.self || !alive[holder] }
}

// reportPoison passes on crash counts of a gateway. They are lost with the leader; gateways count on.
func (r *replica) forwardPoisonReports(reports []*controlpb.PoisonReport) {
	if len(reports) == 0 {
		return
	}
	r.loop.groups[configurationGroup].proposeOrForward(controlstate.EncodePoisonReportsEntry(reports), func(_ any, err error) {
		if err != nil {
			r.log.Log(eventPoisonReportLost, telemetry.F("requests", len(reports)), telemetry.F("error", err))
		}
	})
}
