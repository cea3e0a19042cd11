package raft

import "heatherwall.example/api/raftpb"

// Default limits of Config, in bytes.
const (
	DefaultMaxEntryBytes   = 8 << 20
	DefaultMaxMessageBytes = 1 << 20
)

// Config holds the parameters of a Node. Fields without a default are required.
type Config struct {
	// ID is the randomly chosen replica ID. It must not be 0.
	ID uint64
	// Group is the group ID. It is set on every message that is sent; messages of other groups are rejected.
	Group uint64
	// ElectionTicks is the minimum election timeout; the randomized timeout stays below twice this value. It must be at
	// least 2*HeartbeatTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	Storage        Storage
	// Rand returns a random number in [0, n). It randomizes election timeouts.
	Rand func(n int) int
	// MaxEntryBytes limits the size of a proposal's data. Default DefaultMaxEntryBytes.
	MaxEntryBytes uint64
	// MaxMessageBytes limits the total size of the entries in one append and in one Ready.CommittedEntries; a single
	// larger entry is still included. Default DefaultMaxMessageBytes.
	MaxMessageBytes uint64
	// BatchReads delays the start of a read round to the next tick, so that at most one round starts per tick.
	BatchReads bool
	// ReadsWithHeartbeats delays the start of a read round to the next regular heartbeat, except shortly after an election.
	// It requires BatchReads.
	ReadsWithHeartbeats bool
}

func (c *Config) validate() error {
	switch {
	case c.ID == 0:
		return &ConfigError{Field: "ID", Expected: "a nonzero ID"}
	case c.HeartbeatTicks < 1:
		return &ConfigError{Field: "HeartbeatTicks", Expected: "at least 1"}
	case c.ElectionTicks < 2*c.HeartbeatTicks:
		return &ConfigError{Field: "ElectionTicks", Expected: "at least twice HeartbeatTicks"}
	case c.Storage == nil:
		return &ConfigError{Field: "Storage", Expected: "a storage"}
	case c.Rand == nil:
		return &ConfigError{Field: "Rand", Expected: "a function"}
	}
	if c.MaxEntryBytes == 0 {
		c.MaxEntryBytes = DefaultMaxEntryBytes
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return nil
}

// validateMessage rejects messages that no correct replica of the group sends to this replica.
func (n *Node) validateMessage(m *raftpb.Message) error {
	switch {
	case m.Group != n.config.Group:
		return &InvalidMessageError{From: m.From, Detail: "wrong group"}
	case m.To != n.config.ID:
		return &InvalidMessageError{From: m.From, Detail: "wrong receiver"}
	case m.From == 0 || m.From == n.config.ID:
		return &InvalidMessageError{From: m.From, Detail: "sender is 0 or the receiver itself"}
	case m.Type == raftpb.MessageType_MESSAGE_SNAPSHOT && m.Snapshot.GetIndex() == 0:
		return &InvalidMessageError{From: m.From, Detail: "snapshot is missing"}
	}
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term == 0 || e.Term > m.Term {
			return &InvalidMessageError{From: m.From, Detail: "entries are not consecutive or have invalid terms"}
		}
	}
	return nil
}
