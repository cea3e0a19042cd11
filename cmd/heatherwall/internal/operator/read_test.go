package operator

import (
	"testing"

	"heatherwall.example/api/controlpb"
)

// Guards against reporting a failure domain as empty while requests are in flight there, or before every gateway knows
// that it is out.
func TestDomainLine(t *testing.T) {
	gateway := func(name string, inFlight map[string]uint32) *controlpb.GatewayStatus {
		return &controlpb.GatewayStatus{Name: name, InFlight: inFlight}
	}
	tests := []struct {
		gateways []*controlpb.GatewayStatus
		want     string
	}{
		{[]*controlpb.GatewayStatus{gateway("a", map[string]uint32{"d": 0}), gateway("b", map[string]uint32{"d": 0})}, "failure domain d: empty"},
		{[]*controlpb.GatewayStatus{gateway("a", map[string]uint32{"d": 2}), gateway("b", map[string]uint32{"d": 1})}, "failure domain d: 3 requests in flight"},
		{[]*controlpb.GatewayStatus{gateway("a", map[string]uint32{"d": 0}), gateway("b", nil)}, "failure domain d: no report yet from b"},
	}
	for _, tt := range tests {
		if got := domainLine("d", tt.gateways); got != tt.want {
			t.Errorf("got %q, want %q", got, tt.want)
		}
	}
}
