// Package wal stores the log, the hard state and the snapshots of one raft group in a folder, and the identity of a
// replica in its data folder.
//
// The log is a sequence of frames in segment files. A frame holds everything of one Save and is synced before the next
// one is written; its sequence number is one above that of the frame before. A segment is named after the sequence
// number of its first frame, which always holds the hard state, so that older segments can be removed. Only the last
// frame of the last segment can be torn: a valid frame after a damaged one proves that the damaged one had been synced.
package wal
