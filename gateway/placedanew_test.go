package gateway

import (
	"context"

	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

// standingSelector gives the servers of a fixedOrderSelector a standing that they take up after their selection.
type standingSelector struct {
	*fixedOrderSelector
	standing map[string]balance.Standing
	kinds    []balance.AttemptKind
}

func (s *standingSelector) Pick(ctx context.Context, q *query) (selection, *Refusal) {
	s.kinds = append(s.kinds, attemptKind(q))
	picked, refusal := s.fixedOrderSelector.Pick(ctx, q)
	if refusal != nil {
		return nil, refusal
	}
	return &standingSelection{selection: picked, standing: s.standing[picked.Server().address]}, nil
}

type standingSelection struct {
	selection
	standing balance.Standing
}

func (s *standingSelection) Standing(time.Duration) balance.Standing { return s.standing }

func (s *standingSelection) RecordStatement(time.Duration, balance.Statement) balance.StatementEffect {
	return balance.StatementEffect{}
}

// Guards against sending a request to a server that said it leaves, or paused, after the selection, and against charging the
// caller's attempts for it.
func TestLeavingOrPausedServerIsCheckedBeforeTheFirstByte(t *testing.T) {
	for _, standing := range []balance.Standing{balance.StandingPaused, balance.StandingLeaving, balance.StandingGone} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(standing.String()+" "+method, func(t *testing.T) {
				reached := func(net.Conn, *http.Request) { t.Error("a request reached the server") }
				var servers []string
				s := &standingSelector{standing: map[string]balance.Standing{}}
				for range maxRetries + 2 {
					address, _ := rawServer(t, reached)
					servers, s.standing[address] = append(servers, address), standing
				}
				good, count := rawServer(t, func(c net.Conn, _ *http.Request) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood") })
				f := newPathFixture(t, append(servers, good)...)
				s.fixedOrderSelector, f.selector = f.servers, s
				path := "/read"
				if method == "POST" {
					path = "/issue"
				}
				f.expect(t, f.request(t, method, path, "", headerIdempotencyKey, newKey(t)), 200, "good")
				if count.Load() != 1 {
					t.Errorf("%d requests at the last server", count.Load())
				}
				for i, kind := range s.kinds {
					if i > 0 && kind != balance.AttemptPlacedAnew {
						t.Errorf("attempt %d has kind %d", i, kind)
					}
				}
			})
		}
	}
}

// targetInEngine returns an engine with one server and its selection as a target.
func targetInEngine(id string) (*balance.Engine, balance.ProbeTarget) {
	e := balance.New(balance.Config{Region: "north", FailureDomain: "north-a", EvidenceLifetime: noExpiry})
	e.Apply(balance.ServerChanged{Server: balance.Server{Address: "192.0.2.1:1", ID: id, Incarnation: 1, Service: "s", Region: "north", FailureDomain: "north-a"}})
	target, _ := e.Current().Target("192.0.2.1:1")
	return e, target
}

// Guards against a statement of one server that marks another one which had its address, and against lines and counters that
// are missing.
func TestLeavingOfAnotherServerMarksNothing(t *testing.T) {
	for _, tt := range []struct {
		name, instance string
		status         int
		want           balance.Standing
	}{
		{"named", "i-1", 200, balance.StandingLeaving}, {"not named", "", 200, balance.StandingLeaving}, {"misdirected, not named", "", 421, balance.StandingLeaving},
		{"other server", "i-2", 200, balance.StandingReady}, {"misdirected, other server", "i-2", 421, balance.StandingReady}, {"pause of another server", "i-2", 503, balance.StandingReady},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var lines strings.Builder
			d := *nativeDialect
			d.ParseReport = func(h http.Header) ServerReport {
				return ServerReport{Server: h.Get("X-Instance"), Leaving: true, RetryAfter: time.Second}
			}
			counters := telemetry.NewMetrics()
			s := &statementReader{dialect: &d, clock: newClock(), log: telemetry.NewLogger(&lines, telemetry.Info), counters: counters, limiter: telemetry.NewLineLimiter(1, counters)}
			_, target := targetInEngine("i-1")
			for range 3 {
				s.read(target, probed(target), &http.Response{StatusCode: tt.status, Header: http.Header{"X-Instance": {tt.instance}}})
			}
			if got := target.Standing(s.clock.now()); got != tt.want {
				t.Errorf("the server is %v", got)
			}
			want, event := counters.Counter("servers_leaving", "service", "s").Count() == 1, "server_leaving"
			if tt.want == balance.StandingReady {
				want, event = counters.Counter("server_statements_ignored", "cause", ignoredOtherServer).Count() == 3, "server_statement_ignored"
			}
			if !want || strings.Count(lines.String(), event) != 1 {
				t.Errorf("counters or lines: %s", lines.String())
			}
		})
	}
}

// Guards against a mark from a response that does not belong to the request.
func TestLeavingInMismatchedResponseMarksNothing(t *testing.T) {
	_, target := targetInEngine("")
	address, _ := rawServer(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nHeatherwall-Request-Id: other\r\nHeatherwall-State: draining\r\n\r\n")
	})
	f := newPathFixture(t, address)
	f.selector = &targetSelector{f.servers, target}
	f.do(t, f.request(t, "GET", "/read", ""))
	if got := target.Standing(f.clock.now()); got != balance.StandingReady {
		t.Errorf("the server is %v", got)
	}
}

// targetSelector selects the servers of a fixedOrderSelector, all bound to one server of an engine.
type targetSelector struct {
	*fixedOrderSelector
	target balance.ProbeTarget
}

func (s *targetSelector) Pick(ctx context.Context, q *query) (selection, *Refusal) {
	picked, refusal := s.fixedOrderSelector.Pick(ctx, q)
	if refusal != nil {
		return nil, refusal
	}
	return &targetSelection{picked, s.target}, nil
}

type targetSelection struct {
	selection
	balance.ProbeTarget
}

// Guards against a Retry-After that is read as longer or shorter than the server means.
func TestRetryAfterValues(t *testing.T) {
	date := "Sun, 06 Nov 1994 08:49:37 GMT"
	for _, tt := range []struct {
		name, date    string
		values        []string
		seconds, want time.Duration // as whole numbers by a decimal dialect, and by one with dates
		ok, okDates   bool
	}{
		{name: "missing", ok: true, okDates: true},
		{name: "seconds", values: []string{"2"}, seconds: 2 * time.Second, want: 2 * time.Second, ok: true, okDates: true},
		{name: "fraction", values: []string{" 0.25 "}, seconds: time.Second / 4, want: time.Second / 4, ok: true, okDates: true},
		{name: "an hour", values: []string{"3600"}, seconds: time.Hour, want: time.Hour, ok: true, okDates: true},
		{name: "above an hour", values: []string{"3600.1"}},
		{name: "10^30", values: []string{"1" + strings.Repeat("0", 30)}},
		{name: "400 digits", values: []string{strings.Repeat("9", 400)}},
		{name: "exponent", values: []string{"1e1"}},
		{name: "hexadecimal", values: []string{"0x10"}},
		{name: "negative", values: []string{"-1"}},
		{name: "NaN", values: []string{"NaN"}},
		{name: "infinite", values: []string{"Inf"}},
		{name: "dots", values: []string{"1.2.3"}},
		{name: "empty", values: []string{""}},
		{name: "list", values: []string{"1, 2"}},
		{name: "repeated", values: []string{"1", "3", "2"}, seconds: 3 * time.Second, want: 3 * time.Second, ok: true, okDates: true},
		{name: "repeated, one malformed", values: []string{"soon", "1"}, seconds: time.Second, want: time.Second},
		{name: "date", values: []string{"Sun, 06 Nov 1994 08:49:40 GMT"}, date: date, want: 3 * time.Second, okDates: true},
		{name: "passed date", values: []string{"Sun, 06 Nov 1994 08:49:30 GMT"}, date: date, okDates: true},
		{name: "passed date by the own clock", values: []string{date}, okDates: true},
		{name: "far date", values: []string{"Sun, 06 Nov 2094 08:49:30 GMT"}, date: date},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{"Retry-After": tt.values, "Date": {tt.date}}
			if got, ok := ParseRetryAfter(h, false); got != tt.seconds || ok != tt.ok {
				t.Errorf("without dates: %s %t", got, ok)
			}
			if got, ok := ParseRetryAfter(h, true); got != tt.want || ok != tt.okDates {
				t.Errorf("with dates: %s %t", got, ok)
			}
		})
	}
}
