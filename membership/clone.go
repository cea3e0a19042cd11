package membership

import (
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

// cloneWithState returns a copy of a record with another state.
func cloneWithState(s *gossippb.Server, state gossippb.ServerState) *gossippb.Server {
	c := proto.CloneOf(s)
	c.State = state
	return c
}
