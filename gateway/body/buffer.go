// Package body holds the bodies of requests in memory, within a budget for all of them together. Bodies are buffered
// completely, because a request that was not run is sent again.
package body

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
)

// Budget limits the memory for bodies, with that of released ones which the garbage collector has not freed. It is safe for
// concurrent use.
type Budget struct {
	limit, used atomic.Int64
	// garbage is the number of bytes released since the last collection that the budget has started.
	garbage    atomic.Int64
	collecting sync.Mutex
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. Bodies that are held already stay.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the number of bytes that bodies take.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve reserves n bytes and reports whether they fit into the budget.
func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit.Load() {
		b.used.Add(-n)
		return false
	}
	if b.needsCollection() {
		b.collect()
	}
	return true
}

func (b *Budget) needsCollection() bool { return b.used.Load()+b.garbage.Load() > b.limit.Load() }

// collect frees released bodies. It runs at most once for each limit of released bytes; the pacing of the collector alone would
// let two of the largest bodies in a row take the memory of both.
func (b *Budget) collect() {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if b.needsCollection() {
		b.garbage.Store(0)
		runtime.GC()
	}
}

// BudgetError reports that a body does not fit into the budget.
type BudgetError struct {
	Limit int64
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("memory budget of %d bytes for request bodies is exhausted", e.Limit)
}

// Sizes of the segments of a buffer: each is twice as large as the one before. A buffer never moves what it holds, because for a
// moment that would take the memory twice.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
)

// MaxOverhead is the largest number of bytes that a buffer takes beyond its body.
const MaxOverhead = 2 * maxSegmentBytes

// Buffer holds one body. The zero value is empty.
type Buffer struct {
	budget   *Budget
	segments [][]byte
	length   int64
	reserved int64
}

// Read reads a body to its end. It reserves memory before it allocates it. After an error the buffer holds what was read; the
// error is *BudgetError or that of the reader. The caller must call Release in any case.
func (b *Budget) Read(r io.Reader) (*Buffer, error) {
	buffer := &Buffer{budget: b}
	for size := minSegmentBytes; ; size = min(2*size, maxSegmentBytes) {
		// The end of a body that fills the last segment must not need another one.
		var first [1]byte
		if n, err := fill(r, first[:]); n == 0 {
			return buffer, ignoreEnd(err)
		}
		if !b.reserve(int64(size)) {
			return buffer, &BudgetError{Limit: b.limit.Load()}
		}
		buffer.reserved += int64(size)
		segment := make([]byte, size)
		segment[0] = first[0]
		n, err := fill(r, segment[1:])
		buffer.segments = append(buffer.segments, segment[:n+1])
		buffer.length += int64(n + 1)
		if err != nil {
			return buffer, ignoreEnd(err)
		}
	}
}

// fill reads until p is full or r returns an error. Unlike io.ReadFull it returns io.EOF unchanged, which tells the end of a body
// from one that broke off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	if n == len(p) {
		return n, nil // the next call returns the error again
	}
	return n, err
}

func ignoreEnd(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// Len returns the length of the body.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// WriteTo writes the body.
func (b *Buffer) WriteTo(w io.Writer) (n int64, err error) { return b.NewReader().WriteTo(w) }

// NewReader returns a reader of the body. It may be used after Release.
func (b *Buffer) NewReader() *Reader {
	if b == nil {
		return &Reader{}
	}
	return &Reader{rest: b.segments}
}

// Release returns the memory to the budget. Readers that are still in use keep the memory a little longer; the budget leaves
// room for them.
func (b *Buffer) Release() {
	if b == nil || b.budget == nil {
		return
	}
	b.budget.garbage.Add(b.reserved)
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}

// Reader reads a body from its buffer.
type Reader struct {
	rest [][]byte
	// offset is the number of bytes of the first segment that were read.
	offset int
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[0][r.offset:])
	if r.offset += n; r.offset == len(r.rest[0]) {
		r.next()
	}
	return n, nil
}

// next goes on to the next segment. A reader at the end keeps no segment, because the last request of a connection may hold its
// reader for long.
func (r *Reader) next() {
	r.rest, r.offset = r.rest[1:], 0
	if len(r.rest) == 0 {
		r.rest = nil
	}
}

// WriteTo implements io.WriterTo.
func (r *Reader) WriteTo(w io.Writer) (written int64, err error) {
	for len(r.rest) > 0 {
		n, err := w.Write(r.rest[0][r.offset:])
		written += int64(n)
		if err != nil {
			return written, err
		}
		r.next()
	}
	return written, nil
}
