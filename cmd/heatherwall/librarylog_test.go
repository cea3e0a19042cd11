package main

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherwall.example/telemetry"
)

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// sendSurplus answers one request and sends more bytes after the response.
func sendSurplus(c net.Conn) {
	defer c.Close()
	_, _ = c.Read(make([]byte, 4096))
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(c, "private")
}

// Guards against private bytes of a response in the log, against lines that are no events, and against a server that
// fills the log with surplus bytes.
func TestSurplusBytesAreLoggedAsEvents(t *testing.T) {
	var lines lockedBuffer
	log.SetOutput(newLibraryLog(telemetry.NewLogger(&lines, telemetry.Info)))
	defer log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendSurplus(c)
		}
	}()
	client := &http.Client{Timeout: 10 * time.Second}
	for range 3 * maxLibraryLines {
		r, err := client.Get("http://" + l.Addr().String())
		if err != nil {
			continue // the request was written on a connection before its surplus bytes arrived
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}
	text := lines.String()
	n := strings.Count(text, `"library_message"`)
	if n == 0 || n > 2*maxLibraryLines || strings.Count(text, "\n") != n || strings.Contains(text, "private") {
		t.Errorf("%d events: %.400s", n, text)
	}
}
