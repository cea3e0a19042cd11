package wal

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem holds the file operations that this package uses. Tests replace it to inject faults.
type FileSystem interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a folder in ascending order.
	ReadDir(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file. It truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(dir string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// Permissions of created folders and files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FileSystem. It syncs the parent of each folder that it creates, so that the new folder is durable.
func (OS) MkdirAll(dir string) error {
	dir = filepath.Clean(dir)
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if err := (OS{}).MkdirAll(parent); err != nil {
		return err
	}
	if err := os.Mkdir(dir, folderMode); err != nil && !os.IsExist(err) {
		return err
	}
	return OS{}.SyncDir(parent)
}

// ReadDir implements FileSystem.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile implements FileSystem.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend implements FileSystem.
func (OS) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FileSystem.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// writeFileAtomically writes a file under a temporary name, syncs it, renames it and syncs the folder, so that after a
// crash the file is either complete or unchanged.
func writeFileAtomically(fs FileSystem, dir, name string, content []byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	f, err := fs.Create(temporary)
	if err != nil {
		return &IOError{Operation: "create " + name, Cause: err}
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = fs.Rename(temporary, filepath.Join(dir, name))
	}
	if err == nil {
		err = fs.SyncDir(dir)
	}
	if err != nil {
		return &IOError{Operation: "write " + name, Cause: err}
	}
	return nil
}
