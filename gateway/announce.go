package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"heatherwall.example/document"
	"heatherwall.example/telemetry"
)

// Timing of registrations, see sections 5.3 and 5.4 of docs/design.md. A backend server renews every serverRenewInterval and
// changes to another gateway if no renewal succeeds for serverSwitchTimeout.
const (
	serverRenewInterval = time.Second
	serverSwitchTimeout = 4 * time.Second
	announceTimeout     = 2 * time.Second
	// maxAnnounceBytes limits the body of an announcement.
	maxAnnounceBytes = 4 << 10
	maxNameBytes     = 128
	maxSlots         = 1 << 16
)

// announcement is the request body of announce, renew and leave.
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
	Inflight      int    `json:"inflight"`
	Grant         uint64 `json:"grant"`
}

// announceResponse is the response body for an accepted announcement, renewal or leave. Only the response to an announcement
// contains the times; they apply to the renewals that follow.
type announceResponse struct {
	Grant    uint64 `json:"grant"`
	RenewMs  int64  `json:"renew_ms,omitempty"`
	SwitchMs int64  `json:"switch_ms,omitempty"`
}

// AnnounceError is the response body for a refused announcement; Status is the HTTP status.
type AnnounceError struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

func (e *AnnounceError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Detail) }

// Reasons of refused announcements.
const (
	announceUnauthenticated = "unauthenticated"
	announceInvalid         = "invalid"
	announceStale           = "stale"
	announceUnknown         = "unknown_server"
	announceNotReady        = "not_ready"
	announceTooLarge        = "too_large"
	announceBudgetSpent     = "budget_spent"
)

// announceResponseBytes is charged to the measurement budget for each response to an announcement, packet headers included.
const announceResponseBytes = 250

// chargeAnnouncement charges the response to the measurement budget. Renewals, announcements of new servers and announcements
// to a new owner are never refused, because a healthy server would count as lost after 4 s without them. A leave is not
// refused either, because the server would continue to receive requests. The number of servers limits all of these. Only a
// server that restarts within serverSwitchTimeout of its last change is refused if the debt of the budget would then exceed
// the budget of half a second, so flapping servers cannot spend more than the budget.
func (s *gossipState) chargeAnnouncement(now time.Duration, kind announceKind, a announcement) error {
	scope := s.budgetScope(a.Region)
	flaps := kind == kindAnnounce && s.registry.IsRecentRestart(now, a.Address, a.Incarnation, serverSwitchTimeout)
	if !flaps {
		s.limiter.Charge(now, scope, announceResponseBytes)
		return nil
	}
	if s.limiter.TryCharge(now, scope, announceResponseBytes) {
		return nil
	}
	s.counters.Counter("measuring_denied", "kind", "announcement").Inc(1)
	return &AnnounceError{http.StatusServiceUnavailable, announceBudgetSpent, (&budgetSpentError{}).Error()}
}

// announceKind selects one of the three operations.
type announceKind int

const (
	kindAnnounce announceKind = iota
	kindRenew
	kindLeave
)

// registrar is the part of the state that the announce endpoint uses.
type registrar interface {
	// Register applies an announcement and returns the grant for the response, or *AnnounceError.
	Register(kind announceKind, a announcement) (grant uint64, err error)
}

// announceServer serves the announce listener.
type announceServer struct {
	configuration configuration
	registrar     registrar
	log           *telemetry.Logger
	counters      *telemetry.Metrics
}

func (s *announceServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/servers/announce", s.serve(kindAnnounce))
	mux.HandleFunc("POST /v1/servers/renew", s.serve(kindRenew))
	mux.HandleFunc("POST /v1/servers/leave", s.serve(kindLeave))
	return mux
}

func (s *announceServer) serve(kind announceKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := s.readAnnouncement(w, r)
		var grant uint64
		if err == nil {
			grant, err = s.registrar.Register(kind, a)
		}
		if err != nil {
			s.refuse(w, err)
			return
		}
		answer := announceResponse{Grant: grant}
		if kind == kindAnnounce {
			answer.RenewMs, answer.SwitchMs = serverRenewInterval.Milliseconds(), serverSwitchTimeout.Milliseconds()
			s.log.Log(eventServerAnnounced, telemetry.F("service", a.Service), telemetry.F("address", a.Address), telemetry.F("state", a.State))
		}
		if kind == kindLeave {
			s.log.Log(eventServerLeft, telemetry.F("service", a.Service), telemetry.F("address", a.Address))
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *announceServer) refuse(w http.ResponseWriter, err error) {
	var refused *AnnounceError
	if !errors.As(err, &refused) {
		refused = &AnnounceError{Status: http.StatusBadRequest, Reason: announceInvalid, Detail: err.Error()}
	}
	s.counters.Counter("announce_refusals", "reason", refused.Reason).Inc(1)
	s.log.Log(eventAnnounceRefused, telemetry.F("reason", refused.Reason), telemetry.F("detail", refused.Detail))
	writeJSON(w, refused.Status, refused)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// readAnnouncement decodes, authenticates and validates one announcement.
func (s *announceServer) readAnnouncement(w http.ResponseWriter, r *http.Request) (announcement, error) {
	var a announcement
	l, ok := s.configuration.Valid()
	if !ok {
		return a, &AnnounceError{http.StatusServiceUnavailable, announceNotReady, "no confirmed configuration"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		return a, &AnnounceError{http.StatusRequestEntityTooLarge, announceTooLarge, err.Error()}
	}
	if err := decodeStrict(body, &a); err != nil {
		return a, &AnnounceError{http.StatusBadRequest, announceInvalid, err.Error()}
	}
	service, _ := l.config.Service(a.Service)
	if !credentialMatches(service, r.Header.Get("Authorization")) {
		return a, &AnnounceError{http.StatusUnauthorized, announceUnauthenticated, "expected the credential of the service"}
	}
	return a, a.validate(l.config)
}

// decodeStrict decodes one JSON value. It refuses unknown fields and data after the value.
func decodeStrict(body []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &TrailingDataError{}
	}
	return nil
}

// TrailingDataError reports bytes after the JSON value of a body.
type TrailingDataError struct{}

func (e *TrailingDataError) Error() string { return "expected nothing after the JSON value" }

// credentialMatches compares the bearer token with the credential of the service in constant time. An unknown service (nil)
// takes as long as a wrong credential.
func credentialMatches(s *document.Service, authorization string) bool {
	token, isBearer := strings.CutPrefix(authorization, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	var want [sha256.Size]byte
	if s != nil {
		want = s.Credential
	}
	equal := subtle.ConstantTimeCompare(sum[:], want[:]) == 1
	return equal && isBearer && s != nil
}

func (a *announcement) validate(c *document.Config) error {
	region, known := c.RegionOf(a.FailureDomain)
	switch {
	case !isUsableAddress(a.Address):
		return invalidField("address", "an IP number with a port, in its canonical form and without zone")
	case !known:
		return invalidField("failure_domain", "a failure domain of the topology")
	case a.Region != region:
		return invalidField("region", "the region of the failure domain")
	case a.State != stateReady && a.State != stateCold && a.State != stateDraining:
		return invalidField("state", "ready, cold or draining")
	case a.Incarnation == 0:
		return invalidField("incarnation", "a number above 0")
	case a.Slots <= 0 || a.Slots > maxSlots:
		return invalidField("slots", "1 to 65536")
	case a.Connections < 0 || a.Connections > maxSlots:
		return invalidField("connections", "0 to 65536")
	case a.Inflight < 0:
		return invalidField("inflight", "0 or more")
	}
	return nil
}

// isUsableAddress reports whether the text is a unicast IP address with a port. Only the canonical spelling is accepted,
// because the text identifies the server.
func isUsableAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.String() != text {
		return false
	}
	ip := a.Addr()
	return ip.Zone() == "" && !ip.Is4In6() && !ip.IsUnspecified() && !ip.IsMulticast()
}

func invalidField(field, expected string) error {
	return &AnnounceError{http.StatusBadRequest, announceInvalid, fmt.Sprintf("%s: expected %s", field, expected)}
}

// States of a backend server, as announced and in the state header.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
)
