package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"heatherwall.example/api/controlpb"
)

func testSections() []*controlpb.Section {
	return []*controlpb.Section{
		{Name: "members/kerdrean", Revision: 1, Text: "tenants: {main: {callers: {web: {token_sha256: " + hexSum(testToken) + "}}}}\n"},
		{Name: "services/labels", Revision: 1, Text: "credential_sha256: " + hexSum(testCredential) + "\nclaim_region: north\nrules:\n" +
			"- {name: read, path: /read, methods: [GET, PUT], callers: [kerdrean/*], idempotent: true, deadline: 5s}\n" +
			"- {name: issue, path: /issue, methods: [POST], callers: [kerdrean/main], deadline: 5s, keepin: [north]}\n"},
	}
}

func serverAnnouncement(address string) announcement {
	return announcement{Service: "labels", Address: address, Region: "north", FailureDomain: "north-a", Incarnation: 1, Sequence: 1, State: stateReady, Slots: 6, Connections: 220}
}

// Guards against a break anywhere between announcement, configuration lease and the request path.
func TestOneRequestThroughTheGateway(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections()))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body)+" "+r.Header.Get("Authorization"))
	}))
	defer backend.Close()
	if status, _ := g.announce(t, "announce", serverAnnouncement(backend.Listener.Addr().String())); status != http.StatusOK {
		t.Fatalf("announce: %d", status)
	}
	answer, body := g.call(t, http.MethodPut, "/read/1", "hello")
	if answer.StatusCode != http.StatusOK || body != "PUT /read/1 hello " {
		t.Fatalf("answer: %d %q", answer.StatusCode, body)
	}
}
