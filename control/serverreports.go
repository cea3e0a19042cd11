package control

import (
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"
	"heatherwall.example/telemetry"
)

const (
	// lostAfterReportIntervals is the number of report intervals without a report after which a server is lost. It is
	// generous, because reports may arrive seconds late and gateways avoid an unresponsive server long before.
	lostAfterReportIntervals = 6
	// expiryCheckInterval is the time between two checks for lost servers.
	expiryCheckInterval = time.Second
	// coldStartTolerance is how much later than expected a cold start may end before the report counts as a new cold start.
	coldStartTolerance = 500 * time.Millisecond
	// holderLostAfterTicks is the time without a message from a replica, in ticks, after which the leader takes over the
	// expiry of the servers that report to that replica.
	holderLostAfterTicks = 50
)

// serverReports holds the reports that backend servers sent to this replica. Only the loop uses it. A report without
// changes only updates the time of the last report here; what other replicas and gateways must know goes into the log.
type serverReports struct {
	received map[string]receivedReport
	// batch collects the reports of the current loop iteration, which are proposed as one entry.
	batch           []*statepb.ServerReport
	callbacks       []func(error)
	expiryCheckedAt time.Time
}

// receivedReport records the last report of a server.
type receivedReport struct {
	receivedAt time.Time
	// coldUntil is the expected end of the server's cold start.
	coldUntil time.Time
	// incarnation is the highest one reported; that report may not be committed yet.
	incarnation uint64
}

func newServerReports() *serverReports {
	return &serverReports{received: map[string]receivedReport{}}
}

// handleReport records a report and proposes its changes. It calls done once they are committed, or immediately if there
// are none or if the report names an address of the system itself.
func (r *replica) handleReport(s *controlpb.BackendServer, done func(error)) {
	state := r.configuration.state
	if state.IsReportOutdated(s) {
		r.log.Log(eventReportOutdated, telemetry.F("server", s.GetId()), telemetry.F("incarnation", s.GetIncarnation()), telemetry.F("sequence", s.GetSequence()))
		done(nil)
		return
	}
	now := time.Now()
	known := state.BackendServer(s.GetId())
	if known.GetAddress() != s.GetAddress() {
		if err := r.checkOwnAddress(s, r.directory.gatewayStatuses(now)); err != nil {
			done(err)
			return
		}
	}
	before := r.servers.received[s.GetId()]
	r.servers.received[s.GetId()] = receivedReport{receivedAt: now, coldUntil: before.coldUntil, incarnation: max(before.incarnation, s.GetIncarnation())}
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
			// coldUntil is set only after the commit, because gateways do not know of the cold start before. Otherwise a
			// repeated report would count as unchanged although the first one was not committed.
			received := r.servers.received[s.GetId()]
			received.receivedAt, received.coldUntil = now, coldUntil
			r.servers.received[s.GetId()] = received
		}
		done(err)
	})
}

// isSameReport reports whether two reports agree in everything that gateways and other replicas must know. Of the
// remaining cold start time it compares only whether it is zero.
func isSameReport(a, b *controlpb.BackendServer) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetVersion() == b.GetVersion() && a.GetSlots() == b.GetSlots() &&
		a.GetState() == b.GetState() && a.GetHolder() == b.GetHolder() && (a.GetColdMs() > 0) == (b.GetColdMs() > 0)
}

// isNewColdStart reports whether a server that is known as cold has begun another cold start since its last report.
func (r receivedReport) isNewColdStart(now time.Time, known, s *controlpb.BackendServer) bool {
	if s.GetColdMs() == 0 || known.GetColdMs() == 0 {
		return false
	}
	end := now.Add(time.Duration(s.GetColdMs()) * time.Millisecond)
	return r.coldUntil.IsZero() || end.Sub(r.coldUntil) > coldStartTolerance
}

// currentIncarnation passes the newest incarnation of a server that has not ended to done, 0 if the newest one has ended, after
// a quorum has confirmed that this replica's state is current: a replica that has lost its disk knows no server, and one that
// lags behind knows an earlier incarnation. If the server has not reported yet, done gets *UnknownServerError.
func (r *replica) currentIncarnation(id string, done func(uint64, error)) {
	r.confirmConfigurationRead(func(err error) {
		state := r.configuration.state
		newest := max(state.BackendServer(id).GetIncarnation(), r.servers.received[id].incarnation)
		last := state.LastEndedIncarnation(id)
		switch {
		case err != nil:
			done(0, err)
		case newest > last:
			done(newest, nil)
		case last > 0:
			done(0, nil)
		default:
			done(0, &UnknownServerError{ID: id})
		}
	})
}

// proposeLeave proposes the end of an incarnation of a server and calls done once it is committed.
func (r *replica) proposeLeave(id string, incarnation uint64, done func(error)) {
	end := &statepb.ServerEnd{Id: id, Incarnation: incarnation}
	r.servers.add(&statepb.ServerReport{Report: &statepb.ServerReport_Ended{Ended: end}}, done)
}

func (s *serverReports) add(report *statepb.ServerReport, done func(error)) {
	s.batch = append(s.batch, report)
	s.callbacks = append(s.callbacks, done)
}

// flushServerReports proposes the reports collected in the current loop iteration.
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

// expireSilentServers proposes as lost the servers that report to this replica and have not reported for
// lostAfterReportIntervals. The leader also checks the servers of replicas that are removed or silent.
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
			// This process has not received reports for the whole time: it has just started, has just become responsible for
			// the server, or was stalled.
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

// responsibilityCheck returns a function that reports whether this replica expires the servers that report to the
// replica holder.
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

// forwardPoisonReports proposes the crash counts of a gateway. They are not sent again if their outcome is unknown,
// because gateways keep counting.
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
