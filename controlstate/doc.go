// Package controlstate holds the state machines that the replicated logs drive: Configuration for the configuration
// group and Claims for the claim group of a region. Both are pure and deterministic: the same entries at the same
// indexes give the same state, results and snapshots at every replica. Neither is safe for concurrent use.
package controlstate
