package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/testbed/journal"
)

// Timing and limits of the calls of the announce API. The default times apply until a gateway's response sets others.
const (
	defaultRenewInterval = time.Second
	defaultSwitchTime    = 4 * time.Second
	announceTimeout      = 900 * time.Millisecond
	retryDelay           = 100 * time.Millisecond
	leaveAttempts        = 5
	maxResponseBody      = 64 << 10
)

// announcement is the request body of every call of the announce API.
type announcement struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Incarnation   uint64 `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	State         string `json:"state"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	InFlight      int    `json:"inflight"`
	Grant         uint64 `json:"grant"`
}

// announceResponse is the response to an announcement or a renewal.
type announceResponse struct {
	Grant    uint64 `json:"grant"`
	RenewMs  int64  `json:"renew_ms"`
	SwitchMs int64  `json:"switch_ms"`
}

// announcer keeps the server registered with one gateway at a time.
type announcer struct {
	server *Server
	client *http.Client
	wake   chan struct{}

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	lastState   string
	// gateway is the index of the owner, or, without a registration, of the gateway to try next.
	gateway    int
	registered bool
	// mustReannounce replaces the next renewal by a full announcement: after a restart of the server, or if the owner lost
	// the registration.
	mustReannounce bool
	grant          uint64
	lastResponse   time.Time
	renewInterval  time.Duration
	switchTime     time.Duration
}

func newAnnouncer(s *Server) *announcer {
	a := &announcer{
		server:        s,
		client:        &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: announceTimeout},
		wake:          make(chan struct{}, 1),
		incarnation:   uint64(time.Now().UnixNano()),
		renewInterval: defaultRenewInterval,
		switchTime:    defaultSwitchTime,
	}
	if n := len(s.options.Gateways); n > 0 {
		a.gateway = int(fnv1a(s.options.Address) % uint64(n))
	}
	return a
}

// keepRegistered announces the server and renews its registration until the context ends.
func (a *announcer) keepRegistered(ctx context.Context) {
	if len(a.server.options.Gateways) == 0 {
		return
	}
	for ctx.Err() == nil {
		pause := retryDelay
		if !a.server.down.Load() {
			pause = a.announceOrRenew()
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-time.After(pause):
		}
	}
}

// announceOrRenew makes one call to the current gateway and returns the pause before the next one.
func (a *announcer) announceOrRenew() time.Duration {
	if a.isRegistered() {
		if a.call(a.renewalVerb()) {
			return a.renewInterval
		}
		return a.handleFailedRenewal()
	}
	if a.call("announce") {
		a.server.record(journal.ServerEvent{Event: journal.Registered, Gateway: a.ownerAddress()})
		return a.renewInterval
	}
	a.nextGateway()
	return retryDelay
}

// handleFailedRenewal gives up the owner once its last response is older than the switch time. Registering elsewhere
// before that could give the server two owners at once. It returns the pause before the next call.
func (a *announcer) handleFailedRenewal() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.lastResponse) < a.switchTime {
		return retryDelay
	}
	a.registered = false
	a.mustReannounce = false
	a.grant = 0
	a.gateway = (a.gateway + 1) % len(a.server.options.Gateways)
	return 0
}

func (a *announcer) renewalVerb() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mustReannounce {
		return "announce"
	}
	return "renew"
}

func (a *announcer) nextGateway() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gateway = (a.gateway + 1) % len(a.server.options.Gateways)
}

func (a *announcer) isRegistered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registered
}

func (a *announcer) ownerAddress() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.registered {
		return ""
	}
	return a.server.options.Gateways[a.gateway]
}

// restart begins a new incarnation. It keeps the owner, so that the server never has two owners at once.
func (a *announcer) restart() {
	a.mu.Lock()
	a.incarnation++
	a.sequence = 0
	a.mustReannounce = true
	a.mu.Unlock()
	a.wakeUp()
}

// wakeUp triggers the next call immediately.
func (a *announcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// leave announces to the owner, or else to other gateways, that the server leaves. It reports whether one of them
// accepted.
func (a *announcer) leave() bool {
	gateways := len(a.server.options.Gateways)
	if gateways == 0 {
		return false
	}
	for range leaveAttempts {
		if a.call("leave") {
			a.server.record(journal.ServerEvent{Event: journal.LeaveAccepted, Gateway: a.server.options.Gateways[a.gateway]})
			return true
		}
		a.nextGateway()
	}
	return false
}

// call makes one call of the announce API to the current gateway and reports whether the gateway accepted it.
func (a *announcer) call(verb string) bool {
	gateway, announcement := a.nextAnnouncement(verb)
	body, err := json.Marshal(announcement)
	if err != nil {
		return false
	}
	url := "http://" + gateway + "/v1/servers/" + verb
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+a.server.options.Credential)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil {
		return false
	}
	if response.StatusCode/100 != 2 {
		a.handleRefusal(verb, response.StatusCode)
		return false
	}
	return a.handleResponse(verb, text)
}

// handleRefusal requests a full announcement if the owner refused a renewal because it does not know the server, for
// example after a restart of the gateway.
func (a *announcer) handleRefusal(verb string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if verb == "renew" && status != http.StatusServiceUnavailable {
		a.mustReannounce = true
	}
}

func (a *announcer) nextAnnouncement(verb string) (string, announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.server.options
	state := a.server.state()
	if verb != "renew" || state != a.lastState {
		a.sequence++
	}
	a.lastState = state
	return o.Gateways[a.gateway], announcement{
		Service: o.Service, Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region,
		Incarnation: a.incarnation, Sequence: a.sequence, State: state,
		Slots: o.Slots, Connections: o.Connections, InFlight: a.server.inFlight(), Grant: a.grant,
	}
}

func (a *announcer) handleResponse(verb string, text []byte) bool {
	if verb == "leave" {
		return true
	}
	var g announceResponse
	if err := json.Unmarshal(text, &g); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered = true
	a.mustReannounce = false
	a.lastResponse = time.Now()
	a.grant = g.Grant
	if g.RenewMs > 0 {
		a.renewInterval = time.Duration(g.RenewMs) * time.Millisecond
	}
	if g.SwitchMs > 0 {
		a.switchTime = time.Duration(g.SwitchMs) * time.Millisecond
	}
	return true
}
