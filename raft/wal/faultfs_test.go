package wal

import (
	"os"
	"path/filepath"
	"slices"
)

// injectedError is the error of an operation that a test makes fail.
type injectedError struct{ operation string }

func (e *injectedError) Error() string { return "injected failure of " + e.operation }

// memoryFile is a file of faultFS. synced is the content that is guaranteed to survive a crash.
type memoryFile struct {
	fs              *faultFS
	content, synced []byte
}

// faultFS is an in-memory FileSystem whose operations can fail and which loses unsynced data in a crash. files are the
// current files by path; durable are those of the last sync of the folder.
type faultFS struct {
	files, durable map[string]*memoryFile
	// failAfter is the number of operations that succeed before one fails: at 0, the next operation fails. While it is
	// negative, no operation fails.
	failAfter int
	// random determines how much unsynced data survives a crash.
	random func(n int) int
}

func newFaultFS(random func(n int) int) *faultFS {
	return &faultFS{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, failAfter: -1, random: random}
}

func (s *faultFS) step(operation string) error {
	if s.failAfter < 0 {
		return nil
	}
	s.failAfter--
	if s.failAfter < 0 {
		return &injectedError{operation}
	}
	return nil
}

// crash keeps the durable files with their synced content and a random part of what was appended since, in which it may
// zero a sector.
func (s *faultFS) crash() {
	s.failAfter = -1
	s.files = map[string]*memoryFile{}
	for name, f := range s.durable {
		kept := len(f.synced)
		if extra := len(f.content) - kept; extra > 0 {
			kept += s.random(extra + 1)
		}
		content := slices.Clone(f.content[:kept])
		if len(f.synced)/sectorBytes+1 < kept/sectorBytes && s.random(2) == 0 {
			clear(content[(len(f.synced)/sectorBytes+1)*sectorBytes:][:sectorBytes])
		}
		s.files[name] = &memoryFile{fs: s, content: content, synced: slices.Clone(content)}
	}
	s.durable = map[string]*memoryFile{}
	for name, f := range s.files {
		s.durable[name] = f
	}
}

func (s *faultFS) MkdirAll(string) error { return nil }

func (s *faultFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range s.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (s *faultFS) ReadFile(path string) ([]byte, error) {
	f, ok := s.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

func (s *faultFS) Create(path string) (File, error) {
	s.files[path] = &memoryFile{fs: s}
	return s.files[path], s.step("create")
}

func (s *faultFS) OpenAppend(path string) (File, error) { return s.files[path], s.step("open") }

func (s *faultFS) Rename(from, to string) error {
	s.files[to] = s.files[from]
	delete(s.files, from)
	return s.step("rename")
}

func (s *faultFS) Remove(path string) error {
	delete(s.files, path)
	return s.step("remove")
}

func (s *faultFS) SyncDir(string) error {
	if err := s.step("folder sync"); err != nil {
		return err
	}
	s.durable = map[string]*memoryFile{}
	for name, f := range s.files {
		s.durable[name] = f
	}
	return nil
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if err := f.fs.step("write"); err != nil {
		n := f.fs.random(len(b) + 1)
		f.content = append(f.content, b[:n]...)
		return n, err
	}
	f.content = append(f.content, b...)
	return len(b), nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.content = slices.Clone(f.content[:size])
	f.synced = slices.Clone(f.content[:min(int(size), len(f.synced))])
	return f.fs.step("truncate")
}

func (f *memoryFile) Sync() error {
	if err := f.fs.step("sync"); err != nil {
		return err
	}
	f.synced = slices.Clone(f.content)
	return nil
}

func (f *memoryFile) Close() error { return nil }
