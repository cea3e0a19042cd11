package raft

import (
	"slices"

	"heatherwall.example/api/raftpb"
)

// Index and term of the snapshot that a group starts with.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
)

// BootstrapSnapshot returns the first snapshot of a group. Every first voter must store the same one before it starts;
// replicas that join later store nothing. data is the initial state of the state machine.
func BootstrapSnapshot(members []*raftpb.Member, data []byte) *raftpb.Snapshot {
	sorted := slices.Clone(members)
	sortMembers(sorted)
	return &raftpb.Snapshot{
		Index:      BootstrapIndex,
		Term:       BootstrapTerm,
		Membership: &raftpb.Membership{Members: sorted},
		Data:       data,
	}
}
