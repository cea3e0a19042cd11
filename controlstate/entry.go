package controlstate

import (
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/api/statepb"
)

// encode returns the deterministic encoding of a message. It panics on an error, which messages of this package never
// cause.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// EncodeChangeEntry returns the encoded log entry that applies a signed change.
func EncodeChangeEntry(signed *controlpb.SignedChange) []byte {
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_Change{Change: signed}})
}

// EncodeCreateClaimGroupEntry returns the encoded log entry that creates the claim group of a region.
func EncodeCreateClaimGroupEntry(region string, voters []*raftpb.Member) []byte {
	create := &statepb.CreateClaimGroup{Region: region, Voters: voters}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_CreateClaimGroup{CreateClaimGroup: create}})
}
