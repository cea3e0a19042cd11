package wal

import "fmt"

// CorruptError reports damage that a crash cannot have caused. The folder must not be used any more; the replica gets
// a new folder and with it a new identity.
type CorruptError struct {
	File string
	// Offset is where the damage starts, in bytes.
	Offset int64
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at byte %d: %s", e.File, e.Offset, e.Detail)
}

// IOError reports that a write or sync failed. What is on the disk is unknown from then on, so every later call
// returns the same error; the replica must stop.
type IOError struct {
	Operation string
	Cause     error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("wal: %s failed: %v", e.Operation, e.Cause)
}

func (e *IOError) Unwrap() error { return e.Cause }

// IdentityExistsError reports a data folder that already belongs to a replica.
type IdentityExistsError struct {
	Dir string
}

func (e *IdentityExistsError) Error() string {
	return fmt.Sprintf("wal: data folder %s holds a replica already", e.Dir)
}

// NoIdentityError reports a data folder that is missing or empty.
type NoIdentityError struct {
	Dir string
}

func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("wal: data folder %s holds no replica", e.Dir)
}

// FolderInUseError reports a folder that another process has locked.
type FolderInUseError struct {
	Dir string
}

func (e *FolderInUseError) Error() string {
	return fmt.Sprintf("wal: folder %s is used by another process", e.Dir)
}

// FrameTooLargeError reports a Save above the size limit. Sizes are in bytes.
type FrameTooLargeError struct {
	Size, Max int
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("wal: frame of %d bytes, at most %d are allowed", e.Size, e.Max)
}
