package membership

import (
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

func cloneWithState(s *gossippb.Server, state gossippb.ServerState) *gossippb.Server {
	c := proto.CloneOf(s)
	c.State = state
	return c
}
