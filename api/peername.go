package api

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
)

// Metadata keys with which daemons that use no certificates identify themselves. The receiver cannot verify them; such
// a cluster trusts its network.
const (
	instanceNameKey = "heatherwall-instance"
	peerAddressKey  = "heatherwall-address"
)

// PeerName returns the instance name of the caller: the common name of its verified client certificate or, on a plain-text
// connection, the name in the metadata of the call. It is empty if there is none.
func PeerName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return unverifiedMetadata(ctx, p, instanceNameKey)
	}
	if len(info.State.VerifiedChains) == 0 {
		return ""
	}
	return info.State.VerifiedChains[0][0].Subject.CommonName
}

// PeerListenerAddress returns the address of the caller's peer listener from the metadata of a call on a plain-text
// connection. It is empty if there is none, and on TLS connections.
func PeerListenerAddress(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	return unverifiedMetadata(ctx, p, peerAddressKey)
}

// unverifiedMetadata returns a metadata value in which a caller identifies itself. It is empty on TLS connections, where
// only the certificate counts.
func unverifiedMetadata(ctx context.Context, p *peer.Peer, key string) string {
	if p.AuthInfo != nil && p.AuthInfo.AuthType() != "insecure" {
		return ""
	}
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// WithCallerIdentity adds the instance name and the address of the peer listener of the caller to the metadata of each call.
// Receivers use them on plain-text connections only. The address may be empty.
func WithCallerIdentity(name, address string) grpc.DialOption {
	return grpc.WithPerRPCCredentials(callerIdentity{instanceNameKey: name, peerAddressKey: address})
}

// callerIdentity implements credentials.PerRPCCredentials.
type callerIdentity map[string]string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (i callerIdentity) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return i, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (i callerIdentity) RequireTransportSecurity() bool { return false }
