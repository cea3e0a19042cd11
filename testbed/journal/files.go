package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// FileError reports a journal file that could not be opened, written or read.
type FileError struct {
	File  string
	Line  int
	Cause error
}

func (e *FileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("journal %s, line %d: %v", e.File, e.Line, e.Cause)
	}
	return fmt.Sprintf("journal %s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Writer appends records to a journal file. Every record is one unbuffered write, so that a killed process loses none. A
// nil Writer discards records. It is safe for concurrent use.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// OpenWriter opens or creates the file for appending. For an empty name it returns a nil Writer.
func OpenWriter(file string) (*Writer, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return &Writer{file: f}, nil
}

// Write appends one record. It panics if the write fails, because a journal with missing records would hide faults.
func (w *Writer) Write(record any) {
	if w == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		panic(&FileError{File: w.file.Name(), Cause: err})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		panic(&FileError{File: w.file.Name(), Cause: err})
	}
}

// Close closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return w.file.Close()
}

// Read calls visit for every record of the file, decoded as a T. It ignores a last line without a line break, which a
// killed process may leave.
func Read[T any](file string, visit func(T)) error {
	f, err := os.Open(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	defer f.Close()
	lines := bufio.NewReader(f)
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &FileError{File: file, Line: number, Cause: err}
		}
		var record T
		if err := json.Unmarshal(bytes.TrimSpace(line), &record); err != nil {
			return &FileError{File: file, Line: number, Cause: err}
		}
		visit(record)
	}
}
