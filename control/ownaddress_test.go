package control

import (
	"errors"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
)

// Guards against a report that names a process of the system, to which gateways would send the requests of callers.
func TestReportsAtOwnAddressesAreRefused(t *testing.T) {
	listener := func(port string) settings.Listener { return settings.Listener{Address: "10.0.0.1:" + port} }
	r := &replica{loop: &loop{}, settings: &settings.Control{Peer: listener("1"), Admin: listener("2"), Catalogue: &settings.ControlCatalogue{Listen: listener("3")}}}
	gateways := []*controlpb.GatewayStatus{{Name: "gw-1", PeerAddress: "10.0.0.3:9"}, {Name: "gw-2"}}
	for address, owned := range map[string]bool{
		"10.0.0.1:1": true, "10.0.0.1:2": true, "10.0.0.1:3": true, "10.0.0.3:9": true, "10.0.0.1:4": false, "10.0.0.9:1": false,
	} {
		var own *OwnAddressError
		err := r.checkOwnAddress(&controlpb.BackendServer{Address: address}, gateways)
		if errors.As(err, &own) != owned {
			t.Errorf("%s: %v; want an error: %t", address, err, owned)
		}
	}
}
