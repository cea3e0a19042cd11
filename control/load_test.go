package control

import (
	"slices"
	"testing"

	"heatherwall.example/api/controlpb"
)

// Guards against a collection that waits for gateways that refuse every request, that asks all gateways for slots, or
// that hides a gateway without an answer.
func TestLoadsOfGatewaysThatMayServe(t *testing.T) {
	gateways := []*controlpb.GatewayStatus{
		{Name: "a", Region: "erie", AgeMs: 100}, {Name: "b", Region: "erie", AgeMs: 3100}, {Name: "c", Region: "erie"},
		{Name: "d", Region: "erie"}, {Name: "e", Region: "ontario"}, {Name: "f", Region: "ontario", AgeMs: 3200},
	}
	answer := collectLoads(loadQuestions(gateways), func(q loadQuestion) (*controlpb.GatewayLoad, error) {
		if q.name == "b" || q.name == "d" {
			return nil, &StoppedError{}
		}
		load := &controlpb.GatewayLoad{Name: q.name}
		if q.request.WithSlots {
			load.ReadySlots = []*controlpb.ReadySlots{{}}
		}
		return load, nil
	})
	var names []string
	for _, g := range answer.Gateways {
		if len(g.ReadySlots) > 0 {
			g.Name += " with slots"
		}
		names = append(names, g.Name)
	}
	if want := []string{"a with slots", "c", "e with slots"}; !slices.Equal(names, want) {
		t.Errorf("reports of %v, want %v", names, want)
	}
	if want := []string{"b", "d"}; !slices.Equal(answer.Silent, want) {
		t.Errorf("silent %v, want %v", answer.Silent, want)
	}
}
