package wal

import (
	"os"
	"path/filepath"
	"slices"
)

// injectedError is the failure that a test causes.
type injectedError struct{ operation string }

func (e *injectedError) Error() string { return "injected failure of " + e.operation }

// memoryFile is a file of faultFS. Only synced survives a crash for certain.
type memoryFile struct {
	fs              *faultFS
	content, synced []byte
}

// faultFS is a file system in memory that can fail and lose what has not been synced.
type faultFS struct {
	names, durable map[string]*memoryFile
	// failAfter counts operations down; the one that reaches 0 fails. Negative: never.
	failAfter int
	// random decides how much of unsynced data survives a crash.
	random func(n int) int
}

func newFaultFS(random func(n int) int) *faultFS {
	return &faultFS{names: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, failAfter: -1, random: random}
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

// crash keeps durable names, synced content and a random part of what was appended since.
func (s *faultFS) crash() {
	s.failAfter = -1
	s.names = map[string]*memoryFile{}
	for name, f := range s.durable {
		kept := len(f.synced)
		if extra := len(f.content) - kept; extra > 0 {
			kept += s.random(extra + 1)
		}
		content := slices.Clone(f.content[:kept])
		if len(f.synced)/sectorBytes+1 < kept/sectorBytes && s.random(2) == 0 {
			clear(content[(len(f.synced)/sectorBytes+1)*sectorBytes:][:sectorBytes])
		}
		s.names[name] = &memoryFile{fs: s, content: content, synced: slices.Clone(content)}
	}
	s.durable = map[string]*memoryFile{}
	for name, f := range s.names {
		s.durable[name] = f
	}
}

func (s *faultFS) MkdirAll(string) error { return nil }

func (s *faultFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range s.names {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (s *faultFS) ReadFile(path string) ([]byte, error) {
	f, ok := s.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

func (s *faultFS) Create(path string) (File, error) {
	s.names[path] = &memoryFile{fs: s}
	return s.names[path], s.step("create")
}

func (s *faultFS) OpenAppend(path string) (File, error) { return s.names[path], s.step("open") }

func (s *faultFS) Rename(from, to string) error {
	s.names[to] = s.names[from]
	delete(s.names, from)
	return s.step("rename")
}

func (s *faultFS) Remove(path string) error {
	delete(s.names, path)
	return s.step("remove")
}

func (s *faultFS) SyncDir(string) error {
	if err := s.step("sync of the folder"); err != nil {
		return err
	}
	s.durable = map[string]*memoryFile{}
	for name, f := range s.names {
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
