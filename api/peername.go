package api

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
)

// Metadata of calls between daemons that trust their network and use no certificates.
const (
	metadataName    = "heatherwall-instance"
	metadataAddress = "heatherwall-address"
)

// PeerName returns the instance name of the process that made a call: the common name of its verified client
// certificate or, on a connection in plain text, the name that the caller gives. It is empty without one.
func PeerName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return claimed(ctx, p, metadataName)
	}
	if len(info.State.VerifiedChains) == 0 {
		return ""
	}
	return info.State.VerifiedChains[0][0].Subject.CommonName
}

// PeerListenerAddress returns the address of the caller's peer listener as it gives it on a connection in plain text; it is
// empty on others.
func PeerListenerAddress(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	return claimed(ctx, p, metadataAddress)
}

// claimed reads what a caller says of itself; it counts only where the setup uses no certificates.
func claimed(ctx context.Context, p *peer.Peer, key string) string {
	if p.AuthInfo != nil && p.AuthInfo.AuthType() != "insecure" {
		return ""
	}
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// WithCallerIdentity makes a caller in plain text give its instance name, and the address of its peer listener unless empty.
func WithCallerIdentity(name, address string) grpc.DialOption {
	return grpc.WithPerRPCCredentials(introduction{metadataName: name, metadataAddress: address})
}

// introduction implements credentials.PerRPCCredentials.
type introduction map[string]string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (i introduction) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return i, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (i introduction) RequireTransportSecurity() bool { return false }
