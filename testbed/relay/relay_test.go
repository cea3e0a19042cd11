package relay

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a cut that lets bytes pass or closes connections, or that drops the wrong direction.
func TestCutDropsSilently(t *testing.T) {
	lines := make(chan string, 4)
	target := echoServer(t, lines)
	r, err := Start("127.0.0.1:0", target, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	c := dial(t, r.Address())
	exchange(t, c, lines)
	if err := r.Cut(Backward); err != nil {
		t.Fatal(err)
	}
	send(t, c)
	if <-lines != "line\n" {
		t.Error("the forward direction was cut as well")
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n != 0 || !isTimeout(err) {
		t.Errorf("expected silence, got %d bytes and %v", n, err)
	}
	if err := r.Cut(None); err != nil {
		t.Fatal(err)
	}
	exchange(t, dial(t, r.Address()), lines)
	if err := r.Cut("sideways"); err == nil {
		t.Error("an unknown direction was accepted")
	}
}

func echoServer(t *testing.T, lines chan<- string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						c.Close()
						return
					}
					lines <- line
					c.Write([]byte(line))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
}

func exchange(t *testing.T, c net.Conn, lines <-chan string) {
	t.Helper()
	send(t, c)
	<-lines
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "line\n" {
		t.Fatalf("expected the line back, got %q and %v", line, err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Guards against a cut of one process that also affects others, or that misses the process.
func TestCutFromOneProcess(t *testing.T) {
	lines := make(chan string, 4)
	own := func() map[string]int { return map[string]int{"self": os.Getpid()} }
	r, err := Start("127.0.0.1:0", echoServer(t, lines), IdentifyByProcess(own))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	if err := r.CutFrom("other", Both); err != nil {
		t.Fatal(err)
	}
	c := dial(t, r.Address())
	exchange(t, c, lines)
	if err := r.CutFrom("self", Both); err != nil {
		t.Fatal(err)
	}
	send(t, c)
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n != 0 || !isTimeout(err) {
		t.Errorf("expected silence, got %d bytes and %v", n, err)
	}
}

// Guards against a reset that leaves connections open or prevents new ones, and against a delay that is not applied.
func TestResetAndDelay(t *testing.T) {
	lines := make(chan string, 4)
	r, err := Start("127.0.0.1:0", echoServer(t, lines), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	c := dial(t, r.Address())
	exchange(t, c, lines)
	r.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("%v after a reset; want a broken connection", err)
	}
	const delay = 50 * time.Millisecond
	r.SetDelay(delay)
	began := time.Now()
	exchange(t, dial(t, r.Address()), lines)
	if took := time.Since(began); took < delay {
		t.Errorf("an exchange took %s with a delay of %s", took, delay)
	}
}

// Guards against a bandwidth limit without effect.
func TestRateLimitsConnections(t *testing.T) {
	const rate, size = 64 << 10, 32 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		if c, err := listener.Accept(); err == nil {
			c.Write(make([]byte, size))
		}
	}()
	r, err := Start("127.0.0.1:0", listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	r.SetRate(rate)
	started := time.Now()
	if _, err := io.ReadFull(dial(t, r.Address()), make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if took, least := time.Since(started), size*time.Second/rate; took < least {
		t.Errorf("%d bytes took %s; want at least %s", size, took, least)
	}
}
