package gateway

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxProbeBodyBytes is how much of a probe's body is read; what it tells is in its header.
const maxProbeBodyBytes = 1 << 10

// newProbeClient returns a client for probes, with connections of its own so that probes do not wait behind requests.
func newProbeClient(connectionsPerServer int, idleTimeout time.Duration) *http.Client {
	transport := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: connectionsPerServer, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// noRedirect takes a redirection for the answer to a probe.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// getProbe sends a probe and returns its answer, whose body has been read so that the connection can be used again.
func getProbe(ctx context.Context, client *http.Client, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes))
	return response, nil
}
