package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"heatherwall.example/balance"
)

// Ran states whether a backend server ran a refused request.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason is the machine-readable reason of a refusal. Its values are part of the interface to callers.
type Reason string

// Reasons of refusals.
const (
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonNotAllowed         Reason = "not_allowed"
	ReasonNoRule             Reason = "no_rule"
	ReasonHomeRegion         Reason = "home_region"
	ReasonRequestTooLarge    Reason = "request_too_large"
	ReasonBadRequest         Reason = "bad_request"
	ReasonKeyRequired        Reason = "key_required"
	ReasonKeyInvalid         Reason = "key_invalid"
	ReasonKeyReused          Reason = "key_reused"
	ReasonKeyInProgress      Reason = "key_in_progress"
	ReasonAlreadyRun         Reason = "already_run"
	ReasonKeyExpired         Reason = "key_expired"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonTooDeep            Reason = "too_deep"
	ReasonConfigurationStale Reason = "configuration_stale"
	ReasonNotReady           Reason = "not_ready"
	ReasonDraining           Reason = "draining"
	ReasonClaimsUnavailable  Reason = "claims_unavailable"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoServer           Reason = "no_server"
	ReasonLimitMember        Reason = "limit_member"
	ReasonLimitService       Reason = "limit_service"
	ReasonDeadlineTooShort   Reason = "deadline_too_short"
	ReasonDeadlineExceeded   Reason = "deadline_exceeded"
	ReasonBackendFailed      Reason = "backend_failed"
	ReasonPoison             Reason = "poison"
	ReasonServersUnreachable Reason = "servers_unreachable"
	ReasonServersPaused      Reason = "servers_paused"
	ReasonNoCommonRegion     Reason = "no_common_region"
	ReasonQuota              Reason = "quota"
	ReasonQuotaUnavailable   Reason = "quota_unavailable"
)

// reasonInfo is the status and the default value of Ran of the refusals with one reason.
type reasonInfo struct {
	status int
	ran    Ran // the default, see withRan
}

var reasons = map[Reason]reasonInfo{
	ReasonUnauthenticated:    {http.StatusUnauthorized, RanNo},
	ReasonNotAllowed:         {http.StatusForbidden, RanNo},
	ReasonNoRule:             {http.StatusNotFound, RanNo},
	ReasonHomeRegion:         {http.StatusMisdirectedRequest, RanNo},
	ReasonRequestTooLarge:    {http.StatusRequestEntityTooLarge, RanNo},
	ReasonBadRequest:         {http.StatusBadRequest, RanNo},
	ReasonKeyRequired:        {http.StatusBadRequest, RanNo},
	ReasonKeyInvalid:         {http.StatusBadRequest, RanNo},
	ReasonKeyReused:          {http.StatusUnprocessableEntity, RanNo},
	ReasonKeyInProgress:      {http.StatusConflict, RanUnknown},
	ReasonAlreadyRun:         {http.StatusConflict, RanYes},
	ReasonKeyExpired:         {http.StatusConflict, RanUnknown},
	ReasonOutcomeUnknown:     {http.StatusConflict, RanUnknown},
	ReasonTooDeep:            {http.StatusBadRequest, RanNo},
	ReasonConfigurationStale: {http.StatusServiceUnavailable, RanNo},
	ReasonNotReady:           {http.StatusServiceUnavailable, RanNo},
	ReasonDraining:           {http.StatusServiceUnavailable, RanNo},
	ReasonClaimsUnavailable:  {http.StatusServiceUnavailable, RanNo},
	ReasonOverloaded:         {http.StatusServiceUnavailable, RanNo},
	ReasonNoServer:           {http.StatusServiceUnavailable, RanNo},
	ReasonLimitMember:        {http.StatusServiceUnavailable, RanNo},
	ReasonLimitService:       {http.StatusServiceUnavailable, RanNo},
	ReasonDeadlineTooShort:   {http.StatusServiceUnavailable, RanNo},
	ReasonDeadlineExceeded:   {http.StatusGatewayTimeout, RanNo},
	ReasonBackendFailed:      {http.StatusBadGateway, RanUnknown},
	ReasonPoison:             {http.StatusServiceUnavailable, RanNo},
	ReasonServersUnreachable: {http.StatusServiceUnavailable, RanNo},
	ReasonServersPaused:      {http.StatusServiceUnavailable, RanNo},
	ReasonNoCommonRegion:     {http.StatusServiceUnavailable, RanNo},
	ReasonQuota:              {http.StatusTooManyRequests, RanNo},
	ReasonQuotaUnavailable:   {http.StatusServiceUnavailable, RanNo},
}

// Refusal is the error for a request to which the gateway responds itself, without a response of a backend server.
type Refusal struct {
	Reason Reason
	Ran    Ran
	Detail string
	// Regions are the home regions that may serve the request; set for ReasonHomeRegion only.
	Regions []string
	// RetryAfter is rounded up to seconds unless the dialect permits fractions; with 0 the header is omitted.
	RetryAfter time.Duration
	// unreachable is set for ReasonNoServer if connections to servers failed lately.
	unreachable bool
	// yield is set if the request yields to others; the gateway may wait and call Pick again.
	yield *balance.Yield
	// closeConnection is set if the body must not be read, so that the connection cannot be reused.
	closeConnection bool
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// refuse returns a refusal with the default value of Ran for its reason.
func refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: reasons[reason].ran, Detail: detail}
}

func (r *Refusal) withRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// problem is the body of a refusal in the format of RFC 9457.
type problem struct {
	Type    string   `json:"type"`
	Title   string   `json:"title"`
	Status  int      `json:"status"`
	Detail  string   `json:"detail,omitempty"`
	Reason  Reason   `json:"reason"`
	Ran     Ran      `json:"ran"`
	Regions []string `json:"regions,omitempty"`
}

// problemType is the prefix of the problem type URI; the reason follows it.
const problemType = "urn:heatherwall:refusal:"

// write sends the refusal as the response.
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
	if r.Reason == ReasonUnauthenticated {
		h.Set("WWW-Authenticate", d.authScheme())
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.formatRetryAfter(r.RetryAfter))
	}
	if r.closeConnection {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected, so the error has no receiver.
	_, _ = w.Write(body)
}
