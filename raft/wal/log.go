package wal

import (
	"errors"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
)

// defaultSegmentBytes is the size at which a segment is considered full; the next write starts a new one.
const defaultSegmentBytes = 4 << 20

// segment is one file of the log.
type segment struct {
	firstSequence uint64 // sequence number of the first frame
	// maxIndex is the highest index of the entries in the segment.
	maxIndex uint64
}

// Log is the write-ahead log of one group. It implements raft.Storage and raft.Saver and is not safe for concurrent use.
type Log struct {
	// memory mirrors the state on the disk.
	memory *raft.MemoryStorage

	fs       FileSystem
	dir      string
	segments []segment
	// file is the last segment, opened for writing; size is its length in bytes.
	file File
	size int64
	// sequence is the sequence number of the last frame.
	sequence  uint64
	hardState *raftpb.HardState
	failed    *IOError
	// segmentBytes is the size at which a segment is full; tests reduce it.
	segmentBytes int64
}

// Open opens the log in a folder and creates the folder if it is missing. A torn tail is truncated. It fails with
// *CorruptError on any other corruption and with *IOError on any other failure.
func Open(dir string) (*Log, error) { return OpenWith(OS{}, dir) }

// OpenWith is like Open but uses the given file system.
func OpenWith(fs FileSystem, dir string) (*Log, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, &IOError{Operation: "create folder", Cause: err}
	}
	l := &Log{fs: fs, dir: dir, hardState: &raftpb.HardState{}, segmentBytes: defaultSegmentBytes}
	if err := l.load(); err != nil {
		var corrupt *CorruptError
		var failed *IOError
		if errors.As(err, &corrupt) || errors.As(err, &failed) {
			return nil, err
		}
		return nil, &IOError{Operation: "read log", Cause: err}
	}
	return l, nil
}

// Close closes the last segment. Save and SaveSnapshot fail afterwards.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = &IOError{Operation: "use after Close", Cause: os.ErrClosed}
	}
	return l.file.Close()
}

// IsEmpty reports whether the log holds no snapshot, entry, term or vote, so that its replica has made no commitment to
// other replicas yet.
func (l *Log) IsEmpty() bool {
	hard, _, err := l.memory.InitialState()
	last, lastErr := l.memory.LastIndex()
	return err == nil && lastErr == nil && last == 0 && hard.GetTerm() == 0 && hard.GetVote() == 0
}

// Save writes and syncs a hard state, if it is not nil, and entries. The entries replace the stored entries from the index
// of the first one on. After *IOError nothing more can be saved.
func (l *Log) Save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := l.memory.Save(hs, entries); err != nil {
		return err
	}
	return l.write(record{hardState: hs, entries: entries})
}

// SaveSnapshot stores a snapshot durably and removes the segments and snapshots that it makes obsolete. If the log does not
// contain the snapshot's last entry, all entries are dropped.
func (l *Log) SaveSnapshot(s *raftpb.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	old, _ := l.Snapshot()
	if s.Index <= old.Index {
		return nil
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.fail(err)
	}
	term, err := l.Term(s.Index)
	replaced := err != nil || term != s.Term
	if err := l.memory.SaveSnapshot(s); err != nil {
		return err
	}
	if replaced {
		if err := l.write(record{replaced: true}); err != nil {
			return err
		}
	}
	if l.size == 0 {
		// The last segment must hold the hard state before the segment that holds it so far is removed.
		if err := l.write(record{}); err != nil {
			return err
		}
	}
	return l.removeObsoleteFiles(s.Index)
}

func (l *Log) writeSnapshot(s *raftpb.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	if len(payload) > maxFrameBytes {
		return &FrameTooLargeError{Size: len(payload), Max: maxFrameBytes}
	}
	return writeFileAtomically(l.fs, l.dir, snapshotName(s.Index), appendFrame(nil, s.Index, payload))
}

// write appends a record to the log as one frame and syncs it. It starts a new segment if the last one is full.
func (l *Log) write(r record) error {
	if l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return l.fail(err)
		}
	}
	if r.hardState != nil {
		l.hardState = r.hardState
	}
	if l.size == 0 {
		r.hardState = l.hardState
	}
	payload, err := r.encode()
	if err != nil {
		return l.fail(err)
	}
	framed := appendFrame(make([]byte, 0, headerBytes+len(payload)), l.sequence+1, payload)
	if _, err := l.file.Write(framed); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.sequence++
	l.size += int64(len(framed))
	if n := len(r.entries); n > 0 {
		current := &l.segments[len(l.segments)-1]
		current.maxIndex = max(current.maxIndex, r.entries[n-1].Index)
	}
	return nil
}

func (l *Log) fail(err error) error {
	var failed *IOError
	if !errors.As(err, &failed) {
		failed = &IOError{Operation: "write to " + filepath.Base(l.dir), Cause: err}
	}
	l.failed = failed
	return failed
}

// rotate closes the last segment, which has already been synced, and starts a new one.
func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
	}
	next := segment{firstSequence: l.sequence + 1}
	f, err := l.fs.Create(filepath.Join(l.dir, segmentName(next.firstSequence)))
	if err != nil {
		return err
	}
	l.file, l.size = f, 0
	l.segments = append(l.segments, next)
	return l.fs.SyncDir(l.dir)
}

// removeObsoleteFiles removes snapshots before the index, and segments from the first one on while they hold no entry after
// the index. The last segment is always kept.
func (l *Log) removeObsoleteFiles(index uint64) error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.fail(err)
	}
	for _, name := range names {
		if at, ok := parseSnapshotName(name); ok && at < index {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return l.fail(err)
			}
		}
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.fs.Remove(filepath.Join(l.dir, segmentName(l.segments[0].firstSequence))); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
		// The folder is synced after each removal, so that a crash leaves no gap between segments.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

// InitialState implements raft.Storage.
func (l *Log) InitialState() (*raftpb.HardState, *raftpb.Membership, error) {
	return l.memory.InitialState()
}

// Entries implements raft.Storage.
func (l *Log) Entries(lo, hi, maxBytes uint64) ([]*raftpb.Entry, error) {
	return l.memory.Entries(lo, hi, maxBytes)
}

// Term implements raft.Storage.
func (l *Log) Term(index uint64) (uint64, error) { return l.memory.Term(index) }

// FirstIndex implements raft.Storage.
func (l *Log) FirstIndex() (uint64, error) { return l.memory.FirstIndex() }

// LastIndex implements raft.Storage.
func (l *Log) LastIndex() (uint64, error) { return l.memory.LastIndex() }

// Snapshot implements raft.Storage.
func (l *Log) Snapshot() (*raftpb.Snapshot, error) { return l.memory.Snapshot() }
