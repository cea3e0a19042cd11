package raft

import (
	"slices"

	"heatherwall.example/api/raftpb"
)

// Index and term of the initial snapshot of a group.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
)

// BootstrapSnapshot returns the initial snapshot of a group. Every initial voter must store the same snapshot before it
// starts; replicas that join later start with empty storage. data is the initial state of the state machine.
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
