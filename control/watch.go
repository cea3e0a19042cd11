package control

import (
	"context"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// confirmTimeout bounds the confirmation of one renewal; the gateway then asks another replica.
const confirmTimeout = time.Second

// configurationServer confirms to gateways that their configuration is current.
type configurationServer struct {
	controlpb.UnimplementedConfigurationsServer
	r *replica
}

// Watch answers each renewal after a quorum has confirmed, later than the renewal arrived, that the applied
// configuration is current. When no quorum confirms, the stream ends with Unavailable.
func (s *configurationServer) Watch(stream grpc.BidiStreamingServer[controlpb.RenewRequest, controlpb.RenewAnswer]) error {
	return s.r.untilStopped(func() error { return s.answer(stream, api.PeerName(stream.Context())) })
}

func (s *configurationServer) answer(stream grpc.BidiStreamingServer[controlpb.RenewRequest, controlpb.RenewAnswer], name string) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if request.GetGateway().GetName() != name {
			err := &IdentityError{Certificate: name, Expected: request.GetGateway().GetName()}
			s.r.counters.countRenewal(err)
			return status.Error(codes.PermissionDenied, err.Error())
		}
		answer, err := s.confirm(stream.Context(), request)
		s.r.counters.countRenewal(err)
		if err != nil {
			s.r.log.Log(eventStale, telemetry.F("gateway", name), telemetry.F("error", err))
			return status.Error(codes.Unavailable, err.Error())
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

func (s *configurationServer) confirm(ctx context.Context, request *controlpb.RenewRequest) (*controlpb.RenewAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	now := time.Now()
	if s.r.directory.renewed(request.Gateway, now) {
		s.r.requestReport()
	}
	answer, err := call(ctx, s.r.loop, func(finish func(*controlpb.RenewAnswer, error)) {
		s.r.readConfiguration(func(err error) {
			if err != nil {
				finish(nil, err)
				return
			}
			finish(s.r.configuration.delta(request.Gateway.Revision), nil)
		})
	})
	if err != nil {
		return nil, err
	}
	answer.Nonce = request.Nonce
	answer.ClusterId = s.r.loop.cluster
	answer.ClaimLeaders = s.r.directory.claimLeaders()
	answer.GatewaysDigest, answer.Gateways = s.r.directory.gatewaysUnless(request.GatewaysDigest, now)
	return answer, nil
}

// readConfiguration calls done once the configuration group has confirmed that the applied state is current.
func (r *replica) readConfiguration(done reader) {
	g, ok := r.loop.groups[configurationGroup]
	if !ok {
		done(&NoGroupError{Group: configurationGroup})
		return
	}
	g.read(done)
}
