// Package api holds the messages and services between the processes of the system: raftpb between control replicas,
// controlpb between control replicas, gateways and operators, gossippb between gateways. It imports only protobuf
// and gRPC.
package api
