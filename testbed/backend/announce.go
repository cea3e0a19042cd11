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

// Timing used until a gateway's answer names its own, and limits of one exchange.
const (
	defaultRenew    = time.Second
	defaultSwitch   = 4 * time.Second
	announceTimeout = 900 * time.Millisecond
	retryPause      = 100 * time.Millisecond
	leaveAttempts   = 5
	maxAnnounceBody = 64 << 10
)

// announcement is the body of every call of the announce API.
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

// granted is the answer to an announcement or renewal.
type granted struct {
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
	state       string
	// gateway is the index of the owner, or of the gateway that is tried next.
	gateway    int
	registered bool
	// repeat is true if the owner must be told everything again: after a restart, or if it lost the registration.
	repeat     bool
	grant      uint64
	lastAnswer time.Time
	renew      time.Duration
	switchTime time.Duration
}

func newAnnouncer(s *Server) *announcer {
	a := &announcer{
		server:      s,
		client:      &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: announceTimeout},
		wake:        make(chan struct{}, 1),
		incarnation: uint64(time.Now().UnixNano()),
		renew:       defaultRenew,
		switchTime:  defaultSwitch,
	}
	if n := len(s.options.Gateways); n > 0 {
		a.gateway = int(hash(s.options.Address) % uint64(n))
	}
	return a
}

// run announces and renews until the context ends.
func (a *announcer) run(ctx context.Context) {
	if len(a.server.options.Gateways) == 0 {
		return
	}
	for ctx.Err() == nil {
		pause := retryPause
		if !a.server.closed.Load() {
			pause = a.step()
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-time.After(pause):
		}
	}
}

// step makes one exchange and returns the pause before the next.
func (a *announcer) step() time.Duration {
	if a.isRegistered() {
		if a.exchange(a.renewalVerb()) {
			return a.renew
		}
		return a.afterLostRenewal()
	}
	if a.exchange("announce") {
		a.server.record(journal.ServerEvent{Event: journal.Registered, Gateway: a.ownerAddress()})
		return a.renew
	}
	a.nextGateway()
	return retryPause
}

// afterLostRenewal changes the owner once the last answer is older than the switch time; before that, another owner
// could overlap with the present one.
func (a *announcer) afterLostRenewal() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.lastAnswer) < a.switchTime {
		return retryPause
	}
	a.registered = false
	a.repeat = false
	a.grant = 0
	a.gateway = (a.gateway + 1) % len(a.server.options.Gateways)
	return 0
}

func (a *announcer) renewalVerb() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.repeat {
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

// restart begins a new incarnation. The owner stays the same, so that two owners cannot overlap.
func (a *announcer) restart() {
	a.mu.Lock()
	a.incarnation++
	a.sequence = 0
	a.repeat = true
	a.mu.Unlock()
	a.wakeUp()
}

// wakeUp has the next exchange made at once.
func (a *announcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// leave tells the owner, or any other gateway, that the server leaves. It reports whether one accepted.
func (a *announcer) leave() bool {
	gateways := len(a.server.options.Gateways)
	if gateways == 0 {
		return false
	}
	for range leaveAttempts {
		if a.exchange("leave") {
			a.server.record(journal.ServerEvent{Event: journal.LeaveAccepted, Gateway: a.server.options.Gateways[a.gateway]})
			return true
		}
		a.nextGateway()
	}
	return false
}

// exchange makes one call to the current gateway and reports whether it was accepted.
func (a *announcer) exchange(verb string) bool {
	gateway, message := a.next(verb)
	body, err := json.Marshal(message)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnnounceBody))
	if err != nil {
		return false
	}
	if response.StatusCode/100 != 2 {
		a.refused(verb, response.StatusCode)
		return false
	}
	return a.accept(verb, text)
}

// refused notes that the owner does not know the server, for example because the gateway has restarted.
func (a *announcer) refused(verb string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if verb == "renew" && status != http.StatusServiceUnavailable {
		a.repeat = true
	}
}

func (a *announcer) next(verb string) (string, announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.server.options
	state := a.server.state()
	if verb != "renew" || state != a.state {
		a.sequence++
	}
	a.state = state
	return o.Gateways[a.gateway], announcement{
		Service: o.Service, Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region,
		Incarnation: a.incarnation, Sequence: a.sequence, State: state,
		Slots: o.Slots, Connections: o.Connections, InFlight: a.server.inFlight(), Grant: a.grant,
	}
}

func (a *announcer) accept(verb string, text []byte) bool {
	if verb == "leave" {
		return true
	}
	var g granted
	if err := json.Unmarshal(text, &g); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered = true
	a.repeat = false
	a.lastAnswer = time.Now()
	a.grant = g.Grant
	if g.RenewMs > 0 {
		a.renew = time.Duration(g.RenewMs) * time.Millisecond
	}
	if g.SwitchMs > 0 {
		a.switchTime = time.Duration(g.SwitchMs) * time.Millisecond
	}
	return true
}
