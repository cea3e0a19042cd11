package wal

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
)

// TestMain fixes the seed of rapid. Command-line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func entries(from, to, term uint64) []*raftpb.Entry {
	var all []*raftpb.Entry
	for i := from; i <= to; i++ {
		all = append(all, &raftpb.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry-%d-%d", i, term)})
	}
	return all
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against acknowledged state that is missing or changed after a crash, wherever a crash or a failed operation
// occurs. The state after a restart must be the state before or the state after the interrupted call.
func TestAcknowledgedStateSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		fs := newFaultFS(random.Intn)
		l, err := OpenWith(fs, "d")
		if err != nil {
			t.Fatal(err)
		}
		// Small segments make crashes interrupt rotation and compaction too.
		l.segmentBytes = 400
		model := raft.NewMemoryStorage(nil)
		term := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			hs, added, snapshot := drawChange(t, model, &term)
			before := formatState(model)
			if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
				fs.failAfter = rapid.IntRange(0, 8).Draw(t, "after")
			}
			saveErr := save(l, hs, added, snapshot)
			if err := save(model, hs, added, snapshot); err != nil {
				t.Fatal(err)
			}
			if saveErr == nil && rapid.IntRange(0, 4).Draw(t, "crash") > 0 {
				continue
			}
			fs.crash()
			if l, err = OpenWith(fs, "d"); err != nil {
				t.Fatalf("open after a crash: %v", err)
			}
			l.segmentBytes = 400
			got, after := formatState(l), formatState(model)
			if got != after && (saveErr == nil || got != before) {
				t.Fatalf("wrong state after a crash\nsave: %v\nbefore: %s\nafter:  %s\ngot:    %s", saveErr, before, after, got)
			}
			model = copyStorage(l)
		}
	})
}

func formatState(s raft.Storage) string {
	hs, _, _ := s.InitialState()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	snapshot, _ := s.Snapshot()
	all, err := s.Entries(first, last+1, 1<<40)
	return fmt.Sprint(hs.GetTerm(), hs.GetVote(), hs.GetCommit(), " ", snapshot.Index, snapshot.Term, " ", all, err)
}

func copyStorage(s raft.Storage) *raft.MemoryStorage {
	snapshot, _ := s.Snapshot()
	hs, _, _ := s.InitialState()
	last, _ := s.LastIndex()
	all, _ := s.Entries(snapshot.Index+1, last+1, 1<<40)
	model := raft.NewMemoryStorage(snapshot)
	if err := model.Save(hs, all); err != nil {
		panic(err)
	}
	return model
}

func save(s raft.Saver, hs *raftpb.HardState, added []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if snapshot != nil {
		return s.SaveSnapshot(snapshot)
	}
	return s.Save(hs, added)
}

// drawChange returns either a hard state with entries, or a snapshot, which the log contains or which replaces the log.
func drawChange(t *rapid.T, model *raft.MemoryStorage, term *uint64) (*raftpb.HardState, []*raftpb.Entry, *raftpb.Snapshot) {
	first, _ := model.FirstIndex()
	last, _ := model.LastIndex()
	if rapid.Bool().Draw(t, "new term") {
		*term++
	}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		index := rapid.Uint64Range(first, max(first, last)).Draw(t, "index")
		if at, err := model.Term(index); err == nil {
			return nil, nil, &raftpb.Snapshot{Index: index, Term: at, Data: []byte("s")}
		}
		fallthrough
	case 1:
		index := rapid.Uint64Range(first, last+3).Draw(t, "index")
		*term++
		return nil, nil, &raftpb.Snapshot{Index: index, Term: *term, Data: []byte("s")}
	}
	from := rapid.Uint64Range(first, last+1).Draw(t, "from")
	count := rapid.Uint64Range(1, 30).Draw(t, "count")
	return &raftpb.HardState{Term: *term, Vote: 1, Commit: first - 1}, entries(from, from+count-1, *term), nil
}

// Guards against undetected corruption: a flipped bit in any byte of the synced state must be reported.
func TestEveryCorruptByteIsReported(t *testing.T) {
	fs := newFaultFS(func(int) int { return 0 })
	l, err := OpenWith(fs, "d")
	check(t, err)
	check(t, l.SaveSnapshot(raft.BootstrapSnapshot([]*raftpb.Member{{Id: 1, Name: "a"}}, []byte("data"))))
	for i := uint64(2); i < 6; i++ {
		check(t, l.Save(&raftpb.HardState{Term: 1, Vote: 1, Commit: i - 1}, entries(i, i, 1)))
	}
	for name, f := range fs.files {
		for at := range f.content {
			f.content[at] ^= 0x10
			_, err := OpenWith(fs, "d")
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("%s, corrupted byte %d: got %v; want a CorruptError", filepath.Base(name), at, err)
			}
			f.content[at] ^= 0x10
		}
	}
}

// Guards against a torn tail that keeps the log from being opened or that causes the loss of earlier frames.
func TestTornTailIsTruncated(t *testing.T) {
	fs := newFaultFS(func(int) int { return 0 })
	l, err := OpenWith(fs, "d")
	check(t, err)
	check(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 2, 1)))
	want, size := formatState(l), l.size
	check(t, l.Save(&raftpb.HardState{Term: 2}, entries(3, 9, 2)))
	file := fs.files[filepath.Join("d", segmentName(1))]
	whole := bytes.Clone(file.content)
	for length := size; length < int64(len(whole)); length++ {
		file.content = bytes.Clone(whole[:length])
		reopened, err := OpenWith(fs, "d")
		check(t, err)
		if got := formatState(reopened); got != want {
			t.Fatalf("truncated to %d bytes: got %s", length, got)
		}
		check(t, reopened.Save(nil, entries(3, 3, 2)))
	}
}

// Guards against a retry after a failed sync: the kernel may have dropped the data and report success for the retry.
func TestFailedSyncMakesLogUnusable(t *testing.T) {
	fs := newFaultFS(func(int) int { return 0 })
	l, err := OpenWith(fs, "d")
	check(t, err)
	fs.failAfter = 1
	for range 2 {
		err := l.Save(nil, entries(1, 1, 1))
		var failed *IOError
		var injected *injectedError
		if !errors.As(err, &failed) || !errors.As(err, &injected) {
			t.Fatalf("got %v", err)
		}
	}
}

// Guards against a compaction that keeps all segments or removes one that is still needed.
func TestSegmentsAreCompacted(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir)
	check(t, err)
	big := bytes.Repeat([]byte("x"), defaultSegmentBytes/4)
	for i := uint64(1); i <= 20; i++ {
		check(t, l.Save(&raftpb.HardState{Term: 1, Commit: i}, []*raftpb.Entry{{Index: i, Term: 1, Data: big}}))
	}
	before := len(l.segments)
	check(t, l.SaveSnapshot(&raftpb.Snapshot{Index: 15, Term: 1}))
	if len(l.segments) >= before {
		t.Fatalf("%d segments after compaction, %d before", len(l.segments), before)
	}
	want := formatState(l)
	check(t, l.Close())
	reopened, err := Open(dir)
	check(t, err)
	if got := formatState(reopened); got != want {
		t.Fatal("state differs after compaction and reopening")
	}
}

// Guards against a compaction that removes the only copy of the hard state, which holds the vote, after a crash between the
// creation of a segment and the write of its first frame.
func TestCompactionKeepsHardState(t *testing.T) {
	fs := newFaultFS(func(int) int { return 0 })
	l, err := OpenWith(fs, "d")
	check(t, err)
	check(t, l.Save(&raftpb.HardState{Term: 3, Vote: 2}, entries(1, 5, 1)))
	check(t, l.rotate())
	fs.crash()
	l, err = OpenWith(fs, "d")
	check(t, err)
	check(t, l.SaveSnapshot(&raftpb.Snapshot{Index: 5, Term: 1}))
	fs.crash()
	l, err = OpenWith(fs, "d")
	check(t, err)
	if hs, _, _ := l.InitialState(); hs.Term != 3 || hs.Vote != 2 {
		t.Fatalf("hard state %v", hs)
	}
}

// Guards against a second identity in the same data folder and against an identity that changes. A locked folder must refuse
// a second lock.
func TestIdentity(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	_, err := LoadIdentity(dir)
	var missing *NoIdentityError
	if !errors.As(err, &missing) {
		t.Fatalf("got %v", err)
	}
	lock, err := LockFolder(dir)
	check(t, err)
	var used *FolderInUseError
	if _, err := LockFolder(dir); !errors.As(err, &used) {
		t.Fatalf("got %v", err)
	}
	created, err := CreateIdentity(dir, "c1", 9)
	check(t, err)
	var exists *IdentityExistsError
	if _, err := CreateIdentity(dir, "c1", 0); !errors.As(err, &exists) {
		t.Fatalf("got %v", err)
	}
	loaded, err := LoadIdentity(dir)
	check(t, err)
	if want := (Identity{ID: created.ID, ClusterID: 9, Name: "c1"}); loaded != want || created != want || created.ID == 0 {
		t.Fatalf("created %v, loaded %v", created, loaded)
	}
	check(t, lock.Unlock())
}

// Measures the time to open a log by its number of entries, with one frame per entry.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []uint64{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dir := b.TempDir()
			l, err := Open(dir)
			check(b, err)
			data := bytes.Repeat([]byte("x"), 200)
			for i := uint64(1); i <= count; i++ {
				r := record{entries: []*raftpb.Entry{{Index: i, Term: 1, Data: data}}}
				payload, _ := r.encode()
				_, err := l.file.Write(appendFrame(nil, i, payload))
				check(b, err)
			}
			check(b, l.Close())
			for b.Loop() {
				reopened, err := Open(dir)
				check(b, err)
				check(b, reopened.Close())
			}
		})
	}
}
