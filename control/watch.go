package control

import (
	"context"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// confirmTimeout bounds the confirmation of one renewal or read by a quorum. After it, the gateway asks another replica.
const confirmTimeout = time.Second

// configurationServer confirms to gateways that their configuration is current.
type configurationServer struct {
	controlpb.UnimplementedConfigurationsServer
	r *replica
}

type renewStream = grpc.BidiStreamingServer[controlpb.RenewRequest, controlpb.RenewAnswer]

// gatewayWatch is the Watch stream of one gateway. Answers are built and sent under mu, because each one contains only
// the changes since the previous one.
type gatewayWatch struct {
	r      *replica
	stream renewStream
	name   string

	mu sync.Mutex
	// catalogueIndex is the index of the catalogue that the gateway has after all answers sent so far.
	catalogueIndex uint64
	// confirmed is set when the first renewal is confirmed. Before that only route tables are pushed, because the rest of
	// this replica's state may be older than the gateway's.
	confirmed bool
	// joined is set if the gateway has a catalogue already. It accepts route parts from the start; one without a catalogue
	// does not know yet which cluster it belongs to.
	joined         bool
	sentMembership *raftpb.Membership
	// routes is nil for a gateway that does not accept route tables in parts.
	routes *routeSender
	// wake asks pushChanges to send route parts.
	wake chan struct{}
}

// Watch answers each renewal after a quorum has confirmed, since the renewal arrived, that the applied configuration is
// current. If no quorum confirms in time, the stream ends with Unavailable. Changes of the catalogue are pushed as soon
// as they are applied.
func (s *configurationServer) Watch(stream renewStream) error {
	w := &gatewayWatch{r: s.r, stream: stream, name: api.PeerName(stream.Context()), wake: make(chan struct{}, 1)}
	return s.r.runUntilStopped(w.run)
}

func (w *gatewayWatch) run() error {
	ctx, cancel := context.WithCancel(w.stream.Context())
	var pushing sync.WaitGroup
	defer pushing.Wait()
	defer cancel()
	pushing.Go(func() {
		defer cancel() // without pushes, the next renewal ends the stream, and the gateway opens another one
		w.pushChanges(ctx)
	})
	for first := true; ; first = false {
		request, err := w.stream.Recv()
		if err != nil {
			return err
		}
		if first {
			if err := w.begin(ctx, request); err != nil {
				return err
			}
		}
		if request.GetNonce() != 0 {
			if err := w.handleRenewal(ctx, request); err != nil {
				return err
			}
		}
		w.acknowledgeRoutes(request)
	}
}

// begin records what the gateway holds at its first renewal.
func (w *gatewayWatch) begin(ctx context.Context, request *controlpb.RenewRequest) error {
	w.mu.Lock()
	w.catalogueIndex = request.GetCatalogueIndex()
	w.joined = w.catalogueIndex != 0
	if request.GetAcceptsRouteParts() {
		w.routes = &routeSender{position: request.GetRoutes()}
	}
	w.mu.Unlock()
	if err := w.sendReplicas(ctx); err != nil {
		return err
	}
	return w.pushRouteParts(ctx)
}

// acknowledgeRoutes notes the progress of the gateway and lets pushChanges send further parts.
func (w *gatewayWatch) acknowledgeRoutes(request *controlpb.RenewRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil {
		return
	}
	w.routes.acknowledge(request.GetRoutes())
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// sendReplicas sends the members of the configuration group to a gateway that has no catalogue yet, before anything is
// confirmed. The gateway may then fetch the catalogue from a replica nearby. Otherwise all gateways that start at the
// same time would ask only the seeds.
func (w *gatewayWatch) sendReplicas(ctx context.Context) error {
	if w.catalogueIndex != 0 || w.r.settings.Discovery == nil {
		return nil
	}
	members, err := runInLoop(ctx, w.r.loop, func(finish func([]*raftpb.Member, error)) { finish(w.changedReplicas(), nil) })
	if err != nil || len(members) == 0 {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stream.Send(&controlpb.RenewAnswer{Replicas: members})
}

func (w *gatewayWatch) handleRenewal(ctx context.Context, request *controlpb.RenewRequest) error {
	if request.GetGateway().GetName() != w.name {
		err := &IdentityError{Certificate: w.name, Expected: request.GetGateway().GetName()}
		w.r.counters.countRenewal(err)
		return status.Error(codes.PermissionDenied, err.Error())
	}
	err := w.confirmRenewal(ctx, request)
	w.r.counters.countRenewal(err)
	if err != nil {
		w.r.log.Log(eventConfirmationRefused, telemetry.F("gateway", w.name), telemetry.F("error", err))
		return status.Error(codes.Unavailable, err.Error())
	}
	return nil
}

func (w *gatewayWatch) confirmRenewal(ctx context.Context, request *controlpb.RenewRequest) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	now := time.Now()
	if w.r.directory.recordRenewal(request.Gateway, now) {
		w.r.requestReport()
	}
	replicas, err := runInLoop(ctx, w.r.loop, func(finish func([]uint64, error)) {
		w.r.forwardPoisonReports(request.GetPoison())
		w.r.confirmConfigurationRead(func(err error) { finish(w.r.loop.groups[configurationGroup].memberIDs(), err) })
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = true
	answer, err := w.buildDelta(ctx, request.Gateway.Revision)
	if err != nil {
		return err
	}
	answer.Nonce = request.Nonce
	answer.ClaimLeaders = w.r.directory.claimLeaders()
	answer.GatewaysDigest, answer.Gateways = w.r.directory.gatewaysIfChanged(request.GatewaysDigest, now)
	answer.GatewaysComplete = w.r.directory.isListComplete(w.name, replicas, now)
	return w.stream.Send(answer)
}

// buildDelta returns an answer with the changes that the gateway does not have yet. The caller holds mu.
func (w *gatewayWatch) buildDelta(ctx context.Context, revision uint64) (*controlpb.RenewAnswer, error) {
	answer, err := runInLoop(ctx, w.r.loop, func(finish func(*controlpb.RenewAnswer, error)) {
		a := w.r.configuration.documentDelta(revision)
		// Cloned, because the loop may change the records while the answer is sent.
		a.Catalogue = proto.CloneOf(w.r.configuration.state.CatalogueDeltaSince(w.catalogueIndex, w.routes == nil))
		if w.routes != nil {
			a.RoutesVersion = w.r.configuration.state.RouteTable().GetVersion()
		}
		a.Replicas = w.changedReplicas()
		finish(a, nil)
	})
	if err != nil {
		return nil, err
	}
	if answer.Catalogue != nil {
		w.catalogueIndex = answer.Catalogue.GetIndex()
	}
	answer.ClusterId = w.r.loop.clusterID
	return answer, nil
}

// changedReplicas returns the members of the configuration group if they have changed since they were last sent, and nil
// otherwise or without discovery. It runs in the loop.
func (w *gatewayWatch) changedReplicas() []*raftpb.Member {
	membership := w.r.loop.groups[configurationGroup].node.Status().Membership
	if w.r.settings.Discovery == nil || membership == w.sentMembership {
		return nil
	}
	w.sentMembership = membership
	return membership.GetMembers()
}

// pushInterval is the shortest time between two pushes to a gateway. While many backend servers start or flap, one push
// carries the changes of this time, because each costs a gateway a new view of all servers.
const pushInterval = 150 * time.Millisecond

// pushChanges sends changes of the catalogue until ctx ends or the stream fails. A change after a quiet time is sent at
// once.
func (w *gatewayWatch) pushChanges(ctx context.Context) {
	changed := w.r.catalogueChanges.subscribe()
	defer w.r.catalogueChanges.unsubscribe(changed)
	pause := time.NewTimer(0)
	defer pause.Stop()
	paused := true
	for {
		changes := changed
		if paused {
			changes = nil // they wait in the channel
		}
		var err error
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
			paused = false
		case <-changes:
			err = w.pushChange(ctx)
			paused = true
			pause.Reset(pushInterval)
		case <-w.wake:
			err = w.pushRouteParts(ctx)
		}
		if err != nil {
			w.r.log.Log(eventPushFailed, telemetry.F("gateway", w.name), telemetry.F("error", err))
			return
		}
	}
}

func (w *gatewayWatch) pushRouteParts(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sendRouteParts(ctx)
}

func (w *gatewayWatch) pushChange(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.confirmed {
		return w.sendRouteParts(ctx)
	}
	// Passing the current revision leaves the document out of the answer: only answers to renewals contain it.
	answer, err := w.buildDelta(ctx, w.r.configuration.revision())
	if err != nil || answer.Catalogue == nil {
		return err
	}
	if err := w.stream.Send(answer); err != nil {
		return err
	}
	return w.sendRouteParts(ctx)
}

// confirmConfigurationRead calls done once a quorum of the configuration group has confirmed that the applied state is
// current.
func (r *replica) confirmConfigurationRead(done readCallback) {
	g, ok := r.loop.groups[configurationGroup]
	if !ok {
		done(&NoGroupError{Group: configurationGroup})
		return
	}
	g.confirmRead(done)
}
