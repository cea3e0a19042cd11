package gateway

import (
	"context"
	"io"
	"net/http"
)

// maxProbeBodyBytes is how much of the body of a response to a probe is read. Its report is in the header.
const maxProbeBodyBytes = 1 << 10

// noRedirect makes a client return a redirect as the response instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// getProbe sends a probe on a connection of newTransport and returns the response. Its body has been read and closed, so that
// the connection can be reused. The context must have a gate, see withProbeGate.
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
