package body

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against buffered bodies that exceed the memory budget, and against memory that is never returned to it.
func TestBudget(t *testing.T) {
	const size = 8 << 10
	b := NewBudget(20 << 10)
	first, err := b.Read(strings.NewReader(strings.Repeat("x", size)))
	if err != nil || first.Len() != size {
		t.Fatalf("%d bytes, %v; want %d", first.Len(), err, size)
	}
	second, err := b.Read(strings.NewReader(strings.Repeat("x", size)))
	var full *BudgetError
	if !errors.As(err, &full) {
		t.Fatalf("%v for a second body; want *BudgetError", err)
	}
	first.Release()
	second.Release()
	first.Release()
	if used := b.Used(); used != 0 {
		t.Fatalf("%d bytes are reserved after all bodies were released", used)
	}
	third, err := b.Read(strings.NewReader(strings.Repeat("x", size)))
	if err != nil || third.Len() != size {
		t.Fatalf("%d bytes, %v after the release; want %d", third.Len(), err, size)
	}
}

// Guards against bodies that are changed, cut off or taken for complete, at any length around the ends of segments, and
// against more memory than the body and its overhead.
func TestBodiesAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, minSegmentBytes - 1, minSegmentBytes, minSegmentBytes + 1, 3 * minSegmentBytes, 3*minSegmentBytes + 1, 1 << 20, 1<<20 + 77} {
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(i * 31 >> 3)
		}
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(text), "halves": iotest.HalfReader(bytes.NewReader(text)), "end with data": iotest.DataErrReader(bytes.NewReader(text))} {
			budget := NewBudget(int64(size) + MaxOverhead)
			b, err := budget.Read(r)
			if err != nil || b.Len() != int64(size) {
				t.Fatalf("%d, %s: %d bytes, %v", size, name, b.Len(), err)
			}
			read, err := io.ReadAll(b.NewReader())
			var written bytes.Buffer
			if _, writeErr := b.WriteTo(&written); err != nil || writeErr != nil || !bytes.Equal(read, text) || !bytes.Equal(written.Bytes(), text) {
				t.Errorf("%d, %s: another body is read or written (%v, %v)", size, name, err, writeErr)
			}
		}
		broken := errors.New("broken")
		if _, err := NewBudget(int64(size) + MaxOverhead).Read(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(broken))); !errors.Is(err, broken) {
			t.Errorf("%d: %v for a body that breaks off", size, err)
		}
		if _, err := NewBudget(int64(size) + MaxOverhead).Read(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d: %v for a body that ends early", size, err)
		}
	}
}
