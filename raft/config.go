package raft

import "heatherwall.example/api/raftpb"

// Default limits of Config, in bytes.
const (
	DefaultMaxEntryBytes   = 8 << 20
	DefaultMaxMessageBytes = 1 << 20
)

// Config holds what a node needs. Fields without a default are required.
type Config struct {
	// ID is the random identity of the replica, not 0.
	ID uint64
	// Group is copied to every message; messages of other groups are refused.
	Group uint64
	// ElectionTicks is the shortest election timeout; the longest is twice as long. At least 2 HeartbeatTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	Storage        Storage
	// Rand returns a number from 0 up to but not including n. It spreads election timeouts.
	Rand func(n int) int
	// MaxEntryBytes limits the data of a proposal. Default DefaultMaxEntryBytes.
	MaxEntryBytes uint64
	// MaxMessageBytes limits the entries of one append and of one Ready.CommittedEntries; a single larger entry is still
	// passed on. Default DefaultMaxMessageBytes.
	MaxMessageBytes uint64
	// BatchReads starts a read round at the next tick instead of at once, so that there is at most one per tick.
	BatchReads bool
	// ReadsWithHeartbeats lets read rounds wait for the next heartbeat that is due anyway; it needs BatchReads.
	ReadsWithHeartbeats bool
}

func (c *Config) validate() error {
	switch {
	case c.ID == 0:
		return &ConfigError{Field: "ID", Expected: "a number other than 0"}
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

// validateMessage refuses what no correct replica of the group sends to this one.
func (n *Node) validateMessage(m *raftpb.Message) error {
	switch {
	case m.Group != n.config.Group:
		return &InvalidMessageError{From: m.From, Detail: "other group"}
	case m.To != n.config.ID:
		return &InvalidMessageError{From: m.From, Detail: "other receiver"}
	case m.From == 0 || m.From == n.config.ID:
		return &InvalidMessageError{From: m.From, Detail: "sender is 0 or the receiver"}
	case m.Type == raftpb.MessageType_MESSAGE_SNAPSHOT && m.Snapshot.GetIndex() == 0:
		return &InvalidMessageError{From: m.From, Detail: "snapshot is missing"}
	}
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term == 0 || e.Term > m.Term {
			return &InvalidMessageError{From: m.From, Detail: "entries are not consecutive or have wrong terms"}
		}
	}
	return nil
}
