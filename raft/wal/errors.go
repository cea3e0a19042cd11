package wal

import "fmt"

// CorruptError reports corruption that a crash cannot have caused. The folder must no longer be used; the replica must be
// given a new data folder and thereby a new identity.
type CorruptError struct {
	File string
	// Offset is the position at which the corruption starts, in bytes.
	Offset int64
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at byte offset %d: %s", e.File, e.Offset, e.Detail)
}

// IOError reports a failed file operation. After a failed write or sync the content of the disk is unknown, so every later
// call of Save or SaveSnapshot returns the same error and the replica must stop.
type IOError struct {
	Operation string
	Cause     error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("wal: %s failed: %v", e.Operation, e.Cause)
}

func (e *IOError) Unwrap() error { return e.Cause }

// IdentityExistsError reports that a data folder already holds the identity of a replica.
type IdentityExistsError struct {
	Dir string
}

func (e *IdentityExistsError) Error() string {
	return fmt.Sprintf("wal: data folder %s already holds a replica", e.Dir)
}

// NoIdentityError reports that a data folder is missing or empty.
type NoIdentityError struct {
	Dir string
}

func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("wal: data folder %s holds no replica", e.Dir)
}

// FolderInUseError reports that another process has locked a data folder.
type FolderInUseError struct {
	Dir string
}

func (e *FolderInUseError) Error() string {
	return fmt.Sprintf("wal: data folder %s is locked by another process", e.Dir)
}

// FrameTooLargeError reports a record or snapshot that exceeds the maximum size of a frame. Sizes are in bytes.
type FrameTooLargeError struct {
	Size, Max int
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("wal: frame of %d bytes exceeds the limit of %d bytes", e.Size, e.Max)
}
