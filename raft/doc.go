// Package raft is described in docs/design.md.
package raft
