package control

import (
	"crypto/tls"

	"heatherwall.example/api"

	"google.golang.org/grpc"
)

// dialer opens connections that identify this replica.
type dialer struct {
	// tls is nil on a network without certificates; name and address identify the replica there.
	tls           *tls.Config
	name, address string
}

// dial opens a connection to one address.
func (d dialer) dial(address string) (*grpc.ClientConn, error) {
	return api.DialDaemon(address, d.tls, reconnectInterval, api.WithCallerIdentity(d.name, d.address))
}
