package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
)

// Suffixes of the file names in the folder of a log.
const (
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

func parseSnapshotName(name string) (uint64, bool) { return parseName(name, snapshotSuffix) }

func parseName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// replayState collects, while the log is replayed, the entries that follow the newest snapshot.
type replayState struct {
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	// termAtSnapshot is the term of the log entry at the snapshot's index; 0 if the log does not contain that entry.
	termAtSnapshot uint64
}

// load replays the log in the folder and opens the last segment for writing.
func (l *Log) load() error {
	snapshot, segments, err := l.scanFolder()
	if err != nil {
		return err
	}
	state := &replayState{snapshot: snapshot}
	for i, first := range segments {
		if err := l.loadSegment(state, first, i == len(segments)-1); err != nil {
			return err
		}
	}
	if len(segments) > 0 && segments[0] > 1 && l.sequence < segments[0] {
		return &CorruptError{File: segmentName(segments[0]), Detail: "the first segment contains no complete frame"}
	}
	if err := l.openLastSegment(); err != nil {
		return err
	}
	return l.applyReplay(state)
}

// scanFolder removes the temporary files of interrupted writes. It returns the newest snapshot, which is empty if there is
// none, and the sequence numbers of the segments' first frames in ascending order.
func (l *Log) scanFolder() (*raftpb.Snapshot, []uint64, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, nil, err
	}
	newest := uint64(0)
	var segments []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return nil, nil, err
			}
		}
		if first, ok := parseName(name, segmentSuffix); ok {
			segments = append(segments, first)
		}
		if index, ok := parseSnapshotName(name); ok {
			newest = max(newest, index)
		}
	}
	if newest == 0 {
		return &raftpb.Snapshot{}, segments, nil
	}
	if len(segments) == 0 {
		return nil, nil, &CorruptError{File: snapshotName(newest), Detail: "a snapshot exists but the log is missing"}
	}
	snapshot, err := l.loadSnapshot(newest)
	return snapshot, segments, err
}

func (l *Log) loadSnapshot(index uint64) (*raftpb.Snapshot, error) {
	name := snapshotName(index)
	content, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return nil, err
	}
	f, state := readFrame(content, 0)
	if state != frameValid || f.size != len(content) || f.sequence != index {
		return nil, &CorruptError{File: name, Detail: "the checksum, the length or the index is wrong"}
	}
	s := &raftpb.Snapshot{}
	if err := proto.Unmarshal(f.payload, s); err != nil || s.Index != index {
		return nil, &CorruptError{File: name, Detail: "content cannot be decoded"}
	}
	return s, nil
}

// loadSegment replays one segment. In the last segment, a torn frame marks the end of the log and is truncated.
func (l *Log) loadSegment(r *replayState, first uint64, last bool) error {
	name := segmentName(first)
	content, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	if len(l.segments) > 0 && first != l.sequence+1 {
		return &CorruptError{File: name, Detail: "the preceding segment is missing or incomplete"}
	}
	l.sequence = first - 1
	l.segments = append(l.segments, segment{firstSequence: first})
	offset := 0
	for offset < len(content) {
		f, state := readFrame(content, offset)
		if state == frameTorn && last && !hasLaterFrame(content, offset, l.sequence) {
			break
		}
		if err := l.loadFrame(r, f, state); err != nil {
			err.File, err.Offset = name, int64(offset)
			return err
		}
		offset += f.size
	}
	l.size = int64(offset)
	if last && offset < len(content) {
		return l.truncateTornTail(name)
	}
	return nil
}

// loadFrame validates a frame and replays its record. The caller sets File and Offset of a returned error.
func (l *Log) loadFrame(r *replayState, f frame, state frameState) *CorruptError {
	if state != frameValid {
		return &CorruptError{Detail: "the checksum is wrong"}
	}
	if f.sequence != l.sequence+1 {
		return &CorruptError{Detail: "the sequence number is wrong"}
	}
	rec, err := decodeRecord(f.payload)
	if err != nil {
		return &CorruptError{Detail: "content cannot be decoded"}
	}
	l.sequence = f.sequence
	if rec.hardState != nil {
		l.hardState = rec.hardState
	}
	if rec.replaced {
		r.entries, r.termAtSnapshot = nil, 0
	}
	for _, e := range rec.entries {
		if !r.add(e) {
			return &CorruptError{Detail: "the log has a gap before an entry of this frame"}
		}
		current := &l.segments[len(l.segments)-1]
		current.maxIndex = max(current.maxIndex, e.Index)
	}
	return nil
}

// add appends an entry and drops any existing entries from its index on. It returns false if an entry before it is
// missing.
func (r *replayState) add(e *raftpb.Entry) bool {
	base := r.snapshot.Index
	if e.Index <= base {
		r.entries, r.termAtSnapshot = nil, 0
		if e.Index == base {
			r.termAtSnapshot = e.Term
		}
		return true
	}
	at := e.Index - base - 1
	if at > uint64(len(r.entries)) {
		return false
	}
	r.entries = append(r.entries[:at], e)
	return true
}

// truncateTornTail truncates the last segment after its last valid frame and syncs it.
func (l *Log) truncateTornTail(name string) error {
	f, err := l.fs.OpenAppend(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	err = f.Truncate(l.size)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *Log) openLastSegment() error {
	if len(l.segments) == 0 {
		return l.rotate()
	}
	f, err := l.fs.OpenAppend(filepath.Join(l.dir, segmentName(l.segments[len(l.segments)-1].firstSequence)))
	l.file = f
	return err
}

// applyReplay initializes the in-memory storage from the replayed state. If a crash occurred between the write of a
// snapshot and the write of the record that invalidates the log before it, that record is written now.
func (l *Log) applyReplay(r *replayState) error {
	snapshotInterrupted := r.termAtSnapshot != 0 && r.termAtSnapshot != r.snapshot.Term
	if snapshotInterrupted {
		r.entries = nil
	}
	l.memory = raft.NewMemoryStorage(r.snapshot)
	if err := l.memory.Save(l.hardState, r.entries); err != nil {
		return err
	}
	if snapshotInterrupted {
		return l.write(record{replaced: true})
	}
	return nil
}
