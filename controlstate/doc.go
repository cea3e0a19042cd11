// Package controlstate holds the replicated state machines of the control replicas: Configuration for the configuration
// group and Claims for the claim group of a region. Both are pure and deterministic: applying the same log entries at
// the same indexes produces the same state, results and snapshots on every replica. Neither is safe for concurrent use.
package controlstate
