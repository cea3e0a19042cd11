package gateway

import (
	"context"
	"io"
	"net/http"
	"time"
)

// The report of a response to a probe is in its header. At most maxProbeHeaderBytes of the header, including interim
// responses, and maxProbeBodyBytes of the body are read.
const (
	maxProbeHeaderBytes = 16 << 10
	maxProbeBodyBytes   = 1 << 10
)

// newProbeClient returns a client with its own connections, so that probes do not queue behind requests.
func newProbeClient(connectionsPerServer int, idleTimeout time.Duration) *http.Client {
	transport := &http.Transport{
		Proxy: nil, MaxIdleConnsPerHost: connectionsPerServer, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxProbeHeaderBytes,
	}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// noRedirect makes a client return a redirect as the response instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// getProbe sends a probe and returns the response. Its body has been read and closed, so that the connection can be
// reused.
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
