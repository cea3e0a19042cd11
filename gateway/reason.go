package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"heatherwall.example/balance"
)

// Ran tells whether a refused request was run by a backend server.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason is the stable name of a kind of refusal.
type Reason string

// Reasons of refusals.
const (
	Unauthenticated    Reason = "unauthenticated"
	NotAllowed         Reason = "not_allowed"
	NoRule             Reason = "no_rule"
	HomeRegion         Reason = "home_region"
	RequestTooLarge    Reason = "request_too_large"
	BadRequest         Reason = "bad_request"
	KeyRequired        Reason = "key_required"
	KeyInvalid         Reason = "key_invalid"
	KeyReused          Reason = "key_reused"
	KeyInProgress      Reason = "key_in_progress"
	AlreadyRun         Reason = "already_run"
	KeyExpired         Reason = "key_expired"
	OutcomeUnknown     Reason = "outcome_unknown"
	TooDeep            Reason = "too_deep"
	ConfigurationStale Reason = "configuration_stale"
	NotReady           Reason = "not_ready"
	Draining           Reason = "draining"
	ClaimsUnavailable  Reason = "claims_unavailable"
	Overloaded         Reason = "overloaded"
	NoServer           Reason = "no_server"
	LimitMember        Reason = "limit_member"
	LimitService       Reason = "limit_service"
	DeadlineTooShort   Reason = "deadline_too_short"
	DeadlineExceeded   Reason = "deadline_exceeded"
	BackendFailed      Reason = "backend_failed"
	Poison             Reason = "poison"
)

type reasonInfo struct {
	status int
	ran    Ran // the value when the place of the refusal does not say otherwise
}

var reasons = map[Reason]reasonInfo{
	Unauthenticated:    {http.StatusUnauthorized, RanNo},
	NotAllowed:         {http.StatusForbidden, RanNo},
	NoRule:             {http.StatusNotFound, RanNo},
	HomeRegion:         {http.StatusMisdirectedRequest, RanNo},
	RequestTooLarge:    {http.StatusRequestEntityTooLarge, RanNo},
	BadRequest:         {http.StatusBadRequest, RanNo},
	KeyRequired:        {http.StatusBadRequest, RanNo},
	KeyInvalid:         {http.StatusBadRequest, RanNo},
	KeyReused:          {http.StatusUnprocessableEntity, RanNo},
	KeyInProgress:      {http.StatusConflict, RanUnknown},
	AlreadyRun:         {http.StatusConflict, RanYes},
	KeyExpired:         {http.StatusConflict, RanUnknown},
	OutcomeUnknown:     {http.StatusConflict, RanUnknown},
	TooDeep:            {http.StatusBadRequest, RanNo},
	ConfigurationStale: {http.StatusServiceUnavailable, RanNo},
	NotReady:           {http.StatusServiceUnavailable, RanNo},
	Draining:           {http.StatusServiceUnavailable, RanNo},
	ClaimsUnavailable:  {http.StatusServiceUnavailable, RanNo},
	Overloaded:         {http.StatusServiceUnavailable, RanNo},
	NoServer:           {http.StatusServiceUnavailable, RanNo},
	LimitMember:        {http.StatusServiceUnavailable, RanNo},
	LimitService:       {http.StatusServiceUnavailable, RanNo},
	DeadlineTooShort:   {http.StatusServiceUnavailable, RanNo},
	DeadlineExceeded:   {http.StatusGatewayTimeout, RanNo},
	BackendFailed:      {http.StatusBadGateway, RanUnknown},
	Poison:             {http.StatusServiceUnavailable, RanNo},
}

// Refusal is the typed error of a request that the gateway does not answer with a backend server's answer.
type Refusal struct {
	Reason Reason
	Ran    Ran
	Detail string
	// Regions are the home regions that may serve the request; set for HomeRegion only.
	Regions []string
	// RetryAfter is rounded up to seconds unless the dialect permits fractions; 0 leaves the header out.
	RetryAfter time.Duration
	// yield is set when the request makes way for others; it may wait and be picked for again.
	yield *balance.Yield
	// closeConnection is set when the body must stay unread.
	closeConnection bool
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// refuse returns a refusal with the usual value of Ran.
func refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: reasons[reason].ran, Detail: detail}
}

func (r *Refusal) withRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

func (r *Refusal) after(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// problem is the body of a refusal after RFC 9457.
type problem struct {
	Type    string   `json:"type"`
	Title   string   `json:"title"`
	Status  int      `json:"status"`
	Detail  string   `json:"detail,omitempty"`
	Reason  Reason   `json:"reason"`
	Ran     Ran      `json:"ran"`
	Regions []string `json:"regions,omitempty"`
}

// problemType is the URI reference of the problem type; the reason completes it.
const problemType = "urn:heatherwall:refusal:"

// write sends the refusal as the answer.
func (r *Refusal) write(w http.ResponseWriter, d *Dialect) {
	status := reasons[r.Reason].status
	body, err := json.Marshal(problem{
		Type:    problemType + string(r.Reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  r.Detail,
		Reason:  r.Reason,
		Ran:     r.Ran,
		Regions: r.Regions,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	if r.Reason == Unauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.retryAfter(r.RetryAfter))
	}
	if r.closeConnection {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	// A failed write means that the caller has gone; there is nobody left to tell.
	_, _ = w.Write(body)
}
