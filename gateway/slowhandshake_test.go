package gateway

import (
	"testing"
	"time"

	"heatherwall.example/testbed/relay"
)

// Guards against a gateway that never gets a lease while the TLS handshakes of the control replicas take longer than a TCP
// connection may.
func TestLeaseOverSlowHandshake(t *testing.T) {
	c := newCertificates(t)
	control := startControl(t, c, "control-1", testSections(t))
	slow, err := relay.Start("127.0.0.1:0", control.address, nil)
	must(t, err)
	defer slow.Close()
	slow.SetDelay(100 * time.Millisecond) // a handshake takes four chunks
	control.address = slow.Address()
	startGateway(t, c, "gw-1", control)
}
