// Package api holds the messages and services between the processes of the system, and helpers for their connections: raftpb
// between control replicas, controlpb between control replicas, gateways and operators, gossippb between gateways. It imports
// only protobuf and gRPC.
package api
