package api

import (
	"context"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// PeerName returns the instance name of the process that made a call: the common name of its verified client
// certificate, or an empty string without one.
func PeerName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return ""
	}
	return info.State.VerifiedChains[0][0].Subject.CommonName
}
