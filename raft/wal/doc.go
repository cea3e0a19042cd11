// Package wal implements the write-ahead log of a Raft group. It stores the group's log, hard state and snapshots in a
// folder, and the identity of a replica in its data folder.
//
// The log is a sequence of frames in segment files. A frame holds everything that one Save wrote and is synced before the
// next frame is written. Sequence numbers of frames are consecutive. A segment is named after the sequence number of its
// first frame, which always holds the hard state, so that older segments can be removed. Only the last frame of the last
// segment can be torn by a crash: a valid frame after a damaged one proves that the damaged frame had been synced.
package wal
