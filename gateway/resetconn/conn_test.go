package resetconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn is a connection whose Read is at the end of the stream, and whose Write blocks until its result is set or its
// deadline passes.
type fakeConn struct {
	net.Conn
	result   chan error
	deadline chan struct{}
	once     sync.Once
	readErr  error
}

func newFakeConn() *fakeConn {
	return &fakeConn{result: make(chan error, 1), deadline: make(chan struct{}), readErr: io.EOF}
}

func (c *fakeConn) Read([]byte) (int, error) { return 0, c.readErr }

func (c *fakeConn) Write([]byte) (int, error) {
	select { // a result that is there wins over the deadline
	case err := <-c.result:
		return 0, err
	default:
	}
	select {
	case err := <-c.result:
		return 0, err
	case <-c.deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *fakeConn) SetWriteDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		c.once.Do(func() { close(c.deadline) })
	}
	return nil
}

func readError(c net.Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against a reset that only a write reported and that a later read takes for the end of the stream.
func TestReadAfterFailedWrite(t *testing.T) {
	tests := map[string]struct{ write, read error }{
		"reset":                   {syscall.ECONNRESET, syscall.ECONNRESET},
		"keep-alive timeout":      {syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"reset after the end":     {syscall.EPIPE, io.EOF},
		"deadline of the gateway": {os.ErrDeadlineExceeded, io.EOF},
		"closed by the gateway":   {net.ErrClosed, io.EOF},
		"no error":                {nil, io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fake := newFakeConn()
			fake.result <- tt.write
			c := New(fake)
			if _, err := c.Write([]byte("x")); err != tt.write {
				t.Errorf("Write: %v, want %v", err, tt.write)
			}
			if err := readError(c); err != tt.read {
				t.Errorf("Read: %v, want %v", err, tt.read)
			}
		})
	}
}

// Guards against a read that reaches the end of the stream before the write that holds the reset has returned, and does not
// wait for it.
func TestReadBeforeFailedWriteReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeConn()
		fake.once.Do(func() {}) // the write holds its result already: the deadline does not change it
		c := New(fake)
		go func() { _, _ = c.Write([]byte("x")) }()
		synctest.Wait()
		read := make(chan error, 1)
		go func() { read <- readError(c) }()
		synctest.Wait()
		select {
		case err := <-read:
			t.Fatalf("Read returned %v before the result of the write was known", err)
		default:
		}
		fake.result <- syscall.ECONNRESET
		if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("Read: %v, want the reset", err)
		}
	})
}

// Guards against a read at the proper end of the stream that waits for a write that the peer does not let through.
func TestEndDoesNotWaitForBlockedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(newFakeConn())
		written := make(chan error, 1)
		go func() { _, err := c.Write([]byte("x")); written <- err }()
		synctest.Wait()
		start := time.Now()
		if err := readError(c); err != io.EOF {
			t.Errorf("Read: %v, want io.EOF", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("Read waited for %s", took)
		}
		if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("Write: %v, want the end of its deadline", err)
		}
	})
}

// Guards against a second read that takes the end for proper after the first one got the reset.
func TestResetStaysReported(t *testing.T) {
	fake := newFakeConn()
	fake.readErr = syscall.ECONNRESET
	c := New(fake)
	_ = readError(c)
	fake.readErr = io.EOF
	if err := readError(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the second Read: %v, want the reset", err)
	}
}
