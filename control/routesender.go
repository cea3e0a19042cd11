package control

import (
	"context"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/routes/transfer"
	"heatherwall.example/telemetry"
)

// maxUnacknowledgedParts limits the parts of a route table that were sent to a gateway and not acknowledged yet. Other
// messages of the stream, such as a backend server that leaves, wait behind at most so many parts.
const maxUnacknowledgedParts = 8

// routeSender tracks the transfer of route tables to one gateway. The gatewayWatch that owns it serialises all calls.
type routeSender struct {
	// position is that of the gateway after all parts sent so far.
	position *controlpb.RoutePosition
	// step is the step being sent, from the part with the index next on; nil if there is none.
	step *transfer.Step
	next int
	// unacknowledged holds the position after each part that the gateway has not acknowledged, the oldest first.
	unacknowledged []*controlpb.RoutePosition
}

// canSend reports whether another part may be sent.
func (s *routeSender) canSend() bool { return len(s.unacknowledged) < maxUnacknowledgedParts }

// begin starts the step that follows the parts sent so far; nil if there is none.
func (s *routeSender) begin(step *transfer.Step, first int) { s.step, s.next = step, first }

// take returns the next part and counts it as sent.
func (s *routeSender) take() *controlpb.RoutePart {
	part := s.step.Parts[s.next]
	s.position = &controlpb.RoutePosition{Version: s.position.GetVersion(), NextVersion: s.step.Version, NextBase: s.step.Base, Edits: s.step.EditsAfter(s.next)}
	if s.next++; s.next == len(s.step.Parts) {
		s.position = &controlpb.RoutePosition{Version: s.step.Version}
		s.step = nil
	}
	s.unacknowledged = append(s.unacknowledged, s.position)
	return part
}

// acknowledge removes the parts that a gateway has received according to its position.
func (s *routeSender) acknowledge(p *controlpb.RoutePosition) {
	for len(s.unacknowledged) > 0 && hasReached(p, s.unacknowledged[0]) {
		s.unacknowledged = s.unacknowledged[1:]
	}
}

// hasReached reports whether a gateway at position p has received everything up to another position.
func hasReached(p, other *controlpb.RoutePosition) bool {
	if other.GetNextVersion() == 0 {
		return p.GetVersion() >= other.GetVersion()
	}
	sameStep := p.GetNextVersion() == other.GetNextVersion() && p.GetNextBase() == other.GetNextBase()
	return p.GetVersion() >= other.GetNextVersion() || sameStep && p.GetEdits() >= other.GetEdits()
}

// sendRouteParts sends parts of route tables until the gateway is up to date or has to acknowledge some. The caller holds
// mu.
//
// Tables are sent before a quorum has confirmed that this replica is current: a table that it has applied is committed, and
// only one with a higher version than the gateway's is sent, so it is newer even if it is not the newest. A confirmation may
// take long while replicas commit a large table, and the gateway then moves on to another replica.
func (w *gatewayWatch) sendRouteParts(ctx context.Context) error {
	for w.routes != nil && (w.confirmed || w.joined) && w.routes.canSend() {
		if w.routes.step == nil {
			if err := w.beginRouteStep(ctx); err != nil || w.routes.step == nil {
				return err
			}
		}
		part := w.routes.take()
		w.r.counters.routePartBytes.Inc(int64(len(part.GetEdits())))
		if err := w.stream.Send(&controlpb.RenewAnswer{ClusterId: w.r.loop.clusterID, RoutePart: part}); err != nil {
			return err
		}
	}
	return nil
}

// nextRouteStep is the result of Configuration.NextRouteStep.
type nextRouteStep struct {
	step  *transfer.Step
	first int
}

// beginRouteStep looks up the step that the gateway needs next, if there is one.
func (w *gatewayWatch) beginRouteStep(ctx context.Context) error {
	position := w.routes.position
	next, err := runInLoop(ctx, w.r.loop, func(finish func(nextRouteStep, error)) {
		step, first, err := w.r.configuration.state.NextRouteStep(position)
		finish(nextRouteStep{step, first}, err)
	})
	if err != nil || next.step == nil {
		return err
	}
	w.routes.begin(next.step, next.first)
	w.r.log.Log(eventRouteStepBegun, telemetry.F("gateway", w.name), telemetry.F("version", next.step.Version), telemetry.F("base", next.step.Base),
		telemetry.F("bytes", next.step.Bytes), telemetry.F("parts", len(next.step.Parts)), telemetry.F("first_part", next.first))
	return nil
}
