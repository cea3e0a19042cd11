package control

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/routes"
	"heatherwall.example/telemetry"
)

const (
	// leaderPollInterval is the time between two attempts of a command while no leader accepts it.
	leaderPollInterval = 50 * time.Millisecond
	// Limits of requests at the catalogue listener and at the admin listener. callReadTimeout bounds the time to read a whole
	// request, callWriteTimeout the time from its header to the end of the response; they leave time for a configuration of
	// several megabytes.
	callHeaderTimeout  = 5 * time.Second
	callReadTimeout    = 10 * time.Second
	callWriteTimeout   = 20 * time.Second
	callIdleTimeout    = 30 * time.Second
	maxCallHeaderBytes = 16 << 10
)

// UnavailableError reports a command or read that no quorum committed or confirmed in time. A command may still take
// effect; it is idempotent and may be sent again.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string { return "no quorum decided in time: " + e.Cause.Error() }
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NoRoutesError reports a read before the first route table has been stored.
type NoRoutesError struct{}

func (e *NoRoutesError) Error() string { return "no route table has been accepted yet" }

// Catalogue is the interface of a replica to backend servers and to operators of the route table. Methods with a context
// return within its deadline. It is safe for concurrent use.
type Catalogue struct {
	r *replica
}

// PutRoutes stores a route table. A version that is not higher than the stored one changes nothing and is not an error.
// Errors: *routes.InvalidError, *UnavailableError.
func (c *Catalogue) PutRoutes(ctx context.Context, t *controlpb.RouteTable) error {
	if err := routes.Validate(t); err != nil {
		return err
	}
	started := time.Now()
	err := c.commitRoutes(ctx, t)
	c.r.log.Log(eventRoutesPut, telemetry.F("version", t.GetVersion()), telemetry.F("routes", len(t.GetRoutes())), telemetry.F("took", time.Since(started)),
		telemetry.ErrorField(err))
	return err
}

// commitRoutes commits a route table unless this replica has applied the version or a higher one, which is then committed.
// Operators send a table again until it is acknowledged, and each entry takes the whole table to all replicas.
func (c *Catalogue) commitRoutes(ctx context.Context, t *controlpb.RouteTable) error {
	if err := c.r.checkVoters(); err != nil {
		return &UnavailableError{Cause: err}
	}
	held, err := runInLoop(ctx, c.r.loop, func(finish func(*controlpb.RouteTable, error)) {
		finish(c.r.configuration.state.RouteTable(), nil)
	})
	if err != nil {
		return wrapUnavailable(err)
	}
	if held != nil && held.GetVersion() >= t.GetVersion() {
		return nil
	}
	return c.commitEntry(ctx, controlstate.EncodePutRoutesEntry(t))
}

// Routes returns the newest route table, after a quorum has confirmed, since the call began, that it is current.
// Errors: *NoRoutesError, *UnavailableError.
func (c *Catalogue) Routes(ctx context.Context) (*controlpb.RouteTable, error) {
	table, err := runInLoop(ctx, c.r.loop, func(finish func(*controlpb.RouteTable, error)) {
		c.r.confirmConfigurationRead(func(err error) {
			if err != nil {
				finish(nil, err)
				return
			}
			finish(c.r.configuration.state.RouteTable(), nil)
		})
	})
	switch {
	case err != nil:
		return nil, &UnavailableError{Cause: err}
	case table == nil:
		return nil, &NoRoutesError{}
	}
	return table, nil
}

// SetDomainOut takes a failure domain out of service or back in. decidedAt is a log index from AppliedIndex that the
// operator was given after it had decided: the command has no effect if another one for the failure domain was committed
// after that index, so that a delayed copy never undoes a later command.
// Errors: *controlstate.SupersededError, *UnavailableError.
func (c *Catalogue) SetDomainOut(ctx context.Context, domain string, out bool, decidedAt uint64) error {
	if err := c.r.checkVoters(); err != nil {
		return &UnavailableError{Cause: err}
	}
	err := c.commitEntry(ctx, controlstate.EncodeSetDomainOutEntry(domain, out, decidedAt))
	c.r.log.Log(eventDomainSet, telemetry.F("failure_domain", domain), telemetry.F("out", out), telemetry.F("decided_at", decidedAt), telemetry.ErrorField(err))
	return err
}

// AppliedIndex returns the index of the last log entry that this replica has applied; it is never 0. The error is an
// *UnavailableError.
func (c *Catalogue) AppliedIndex(ctx context.Context) (uint64, error) {
	index, err := runInLoop(ctx, c.r.loop, func(finish func(uint64, error)) {
		finish(c.r.loop.groups[configurationGroup].applied, nil)
	})
	if err == nil && index == 0 {
		err = &NotOpenError{}
	}
	return index, wrapUnavailable(err)
}

// ReportServer returns once the changes in a report of a backend server are committed. A report without changes only updates
// the time of the last one here; an outdated one is ignored. Servers repeat reports, so none waits until the group has enough
// voters to bear lost disks. Errors: *routes.InvalidServerError, *OwnAddressError, *UnavailableError.
func (c *Catalogue) ReportServer(ctx context.Context, s *controlpb.BackendServer) error {
	if err := routes.ValidateServer(s); err != nil {
		return err
	}
	return c.retryUntilLeader(ctx, func(done func(error)) { c.r.handleReport(s, done) })
}

// CurrentIncarnation returns the newest incarnation of a backend server that has not ended, after a quorum has confirmed, since
// the call began, that this replica knows it; 0 if the newest one has ended. Errors: *routes.InvalidServerError,
// *UnavailableError, whose cause is *UnknownServerError if the server has not reported yet.
func (c *Catalogue) CurrentIncarnation(ctx context.Context, id string) (uint64, error) {
	if err := routes.ValidateServerID(id); err != nil {
		return 0, err
	}
	incarnation, err := runInLoop(ctx, c.r.loop, func(finish func(uint64, error)) { c.r.currentIncarnation(id, finish) })
	return incarnation, wrapUnavailable(err)
}

// RemoveServer removes an incarnation of a backend server permanently. It has no effect on later incarnations, so that a
// delayed copy of a call ends none of them. Errors: *routes.InvalidServerError, *UnavailableError.
func (c *Catalogue) RemoveServer(ctx context.Context, id string, incarnation uint64) error {
	if err := cmp.Or(routes.ValidateServerID(id), routes.ValidateIncarnation(incarnation)); err != nil {
		return err
	}
	if incarnation == 0 {
		return &routes.InvalidServerError{Field: "incarnation", Expected: "a number above 0"}
	}
	if err := c.r.checkVoters(); err != nil {
		return &UnavailableError{Cause: err}
	}
	err := c.retryUntilLeader(ctx, func(done func(error)) { c.r.proposeLeave(id, incarnation, done) })
	c.r.log.Log(eventServerLeft, telemetry.F("server", id), telemetry.F("incarnation", incarnation), telemetry.ErrorField(err))
	return err
}

// RegionOf returns the region of a failure domain.
func (c *Catalogue) RegionOf(domain string) (string, bool) {
	region, ok := c.r.settings.Catalogue.FailureDomains[domain]
	return region, ok
}

// ReportAddress returns the address at which this replica receives reports.
func (c *Catalogue) ReportAddress() string { return c.r.settings.Catalogue.Listen.AdvertisedAddress() }

// Logger returns the logger of the replica.
func (c *Catalogue) Logger() *telemetry.Logger { return c.r.log }

// commitEntry proposes an idempotent entry and waits until it is committed and applied here.
func (c *Catalogue) commitEntry(ctx context.Context, entry []byte) error {
	return c.retryUntilLeader(ctx, func(done func(error)) {
		c.r.loop.groups[configurationGroup].proposeOrForward(entry, func(result any, err error) { done(cmp.Or(err, commandError(result))) })
	})
}

// commandError returns the error with which the state machine answered a command; nil if the command was applied.
func commandError(result any) error {
	if r, ok := result.(controlstate.ConfigurationResult); ok {
		return r.Err
	}
	return nil
}

// retryUntilLeader runs an idempotent task in the loop and repeats it while no leader accepts it, until ctx ends.
func (c *Catalogue) retryUntilLeader(ctx context.Context, task func(done func(error))) error {
	for {
		_, err := runInLoop(ctx, c.r.loop, func(finish func(struct{}, error)) {
			task(func(err error) { finish(struct{}{}, err) })
		})
		if !isNotLeaderError(err) {
			return wrapUnavailable(err)
		}
		sleep(ctx, leaderPollInterval)
		if ctx.Err() != nil {
			return wrapUnavailable(err)
		}
	}
}

// wrapUnavailable wraps the error of a command that was not decided.
func wrapUnavailable(err error) error {
	var own *OwnAddressError
	var superseded *controlstate.SupersededError
	if err == nil || errors.As(err, &own) || errors.As(err, &superseded) {
		return err
	}
	return &UnavailableError{Cause: err}
}

// serveCatalogue opens the catalogue listener if the settings have one. stop waits up to stopTimeout for in-flight
// requests.
func (r *replica) serveCatalogue(wg *sync.WaitGroup) (stop func(), err error) {
	s := r.settings.Catalogue
	if s == nil || r.options.Catalogue == nil {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", s.Listen.Address)
	if err != nil {
		return nil, err
	}
	server := newCallServer(r.options.Catalogue(&Catalogue{r: r}))
	wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Log(eventListenerFailed, telemetry.F("listener", "catalogue"), telemetry.F("error", err))
		}
	})
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close() // aborts requests that are still in flight
		}
	}, nil
}

// newCallServer returns the server for the calls of backend servers and operators. A request that dribbles in ends after
// callReadTimeout.
func newCallServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxCallHeaderBytes, ReadHeaderTimeout: callHeaderTimeout,
		ReadTimeout: callReadTimeout, WriteTimeout: callWriteTimeout, IdleTimeout: callIdleTimeout,
	}
}
