package pipeline

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkPlainRequest compares one request after the other on a kept connection with and without reading ahead.
func BenchmarkPlainRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	for name, serve := range map[string]func(*http.Server, net.Listener){
		"net/http": func(s *http.Server, l net.Listener) { _ = s.Serve(l) },
		"ahead":    func(s *http.Server, l net.Listener) { Serve(s, NewListener(l, DefaultLimits, nil)) },
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: handler, ConnContext: ConnContext}
			ended := make(chan struct{})
			go func() { defer close(ended); serve(s, l) }()
			client := &http.Client{Transport: &http.Transport{}}
			b.ReportAllocs()
			for range b.N {
				r, err := client.Get("http://" + l.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
			client.CloseIdleConnections()
			_ = s.Close()
			<-ended
		})
	}
}
