package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

const testDocument = `format: 1
members:
  kerdrean:
    keys:
      - {id: k1, public_key: "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="}
    tenants:
      main: {callers: [{name: web, token_sha256: TOKEN}]}
      south: {home_regions: [south], callers: [{name: web, token_sha256: SOUTH}]}
topology:
  owner: kerdrean
  regions: {north: [north-a, north-b], south: [south-a]}
measuring: {owner: kerdrean, within_region: 1MiB, across_regions: 1MiB}
services:
  labels:
    owner: kerdrean
    credential_sha256: CREDENTIAL
    claim_region: north
    workers: 2
    slots: 6
    connections: 220
    rules:
      - {name: read, path: /read, methods: [GET, PUT], callers: ["kerdrean/*"], idempotent: true, deadline: 5s, max_body: 64KiB}
      - {name: hedged, path: /hedged, methods: [GET], callers: [kerdrean/main], idempotent: true, deadline: 5s, hedge: true}
      - {name: issue, path: /issue, methods: [POST], callers: [kerdrean/main], idempotent: false, deadline: 5s, home_regions: [north], keep_in: [north]}
      - {name: free, path: /free, methods: [POST], callers: [kerdrean/main], idempotent: false, idempotency_key: optional, deadline: 5s, home_regions: [north], keep_in: [north]}
`

func testSections(t testing.TB) []*controlpb.Section {
	t.Helper()
	text := strings.NewReplacer("TOKEN", hexSum(testToken), "SOUTH", hexSum(southToken), "CREDENTIAL", hexSum(testCredential)).Replace(testDocument)
	d, problems := document.Parse("test.yaml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var sections []*controlpb.Section
	for _, s := range d.Sections() {
		sections = append(sections, &controlpb.Section{Name: s.Name, Text: s.Text, Revision: 1})
	}
	return sections
}

func serverAnnouncement(address string) announcement {
	return announcement{Service: "labels", Address: address, Region: "north", FailureDomain: "north-a", Incarnation: 1, Sequence: 1, State: stateReady, Slots: 6, Connections: 220}
}

// Guards against a failure of a simple request through announcement, configuration lease and request path.
func TestOneRequestThroughTheGateway(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
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
		t.Fatalf("response: %d %q", answer.StatusCode, body)
	}
}
