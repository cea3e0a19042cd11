package wal

import (
	"os"
	"path/filepath"
	"syscall"
)

// FolderLock is an exclusive lock that keeps other processes from using a data folder. The operating system releases it
// when the process ends.
type FolderLock struct {
	file *os.File
}

// LockFolder locks a data folder and creates it if it is missing. It fails with *FolderInUseError if another process holds
// the lock.
func LockFolder(dir string) (*FolderLock, error) {
	if err := (OS{}).MkdirAll(dir); err != nil {
		return nil, &IOError{Operation: "create folder", Cause: err}
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, &IOError{Operation: "open lock", Cause: err}
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, &FolderInUseError{Dir: dir}
	}
	return &FolderLock{file: f}, nil
}

// Unlock releases the lock.
func (l *FolderLock) Unlock() error { return l.file.Close() }
