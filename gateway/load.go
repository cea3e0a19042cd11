package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/document"
	"heatherwall.example/membership"
	"heatherwall.example/settings"
)

// loadWindowSeconds is the number of past seconds for which a gateway stores its load.
const loadWindowSeconds = 10

// loadKey identifies the requests of one service that may run in the same regions.
type loadKey struct {
	service string
	// regions is a comma-separated list; empty for all regions.
	regions string
}

func newLoadKey(service string, runIn document.Regions) loadKey {
	return loadKey{service: service, regions: strings.Join(runIn.Names, ",")}
}

// loadMeter measures the mean number of in-flight attempts in each second. The means of several gateways can be summed;
// peaks cannot, because they occur at different times. It is safe for concurrent use.
type loadMeter struct {
	mu     sync.Mutex
	series map[loadKey]*loadSeries
}

// loadSeries holds one total for each of the last loadWindowSeconds and for the current second.
type loadSeries struct {
	inFlight int64
	// advancedTo is the time up to which the totals are complete.
	advancedTo time.Duration
	// totals are the integrals of inFlight over each second. The index is the number of the second modulo the length.
	totals [loadWindowSeconds + 1]time.Duration
}

// add adds n to the number of in-flight attempts.
func (m *loadMeter) add(k loadKey, n int64, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.series[k]
	if s == nil {
		s = &loadSeries{advancedTo: now}
		if m.series == nil {
			m.series = map[loadKey]*loadSeries{}
		}
		m.series[k] = s
	}
	s.advance(now)
	s.inFlight += n
}

// advance adds the time up to now to the totals.
func (s *loadSeries) advance(now time.Duration) {
	const span = time.Duration(len(s.totals)) * time.Second
	if now-s.advancedTo > span { // older totals are overwritten anyway
		s.advancedTo = (now - span).Truncate(time.Second)
	}
	for s.advancedTo < now {
		second := s.advancedTo.Truncate(time.Second)
		total := &s.totals[int(second/time.Second)%len(s.totals)]
		if s.advancedTo == second {
			*total = 0
		}
		end := min(second+time.Second, now)
		*total += time.Duration(s.inFlight) * (end - s.advancedTo)
		s.advancedTo = end
	}
}

// means returns the mean of each of the last seconds in thousandths, newest first, and whether any is above 0.
func (s *loadSeries) means(now time.Duration, seconds int) ([]uint32, bool) {
	s.advance(now)
	newest := int(now / time.Second)
	means := make([]uint32, seconds)
	loaded := false
	for i := range means {
		total := s.totals[(newest-1-i)%len(s.totals)]
		means[i] = uint32(total / time.Millisecond)
		loaded = loaded || means[i] > 0
	}
	return means, loaded
}

// observedSeconds returns the number of whole seconds that the totals cover since the start of the process.
func observedSeconds(now time.Duration) int { return min(int(now/time.Second), loadWindowSeconds) }

// report returns the sorted load of all keys that have any, and deletes keys without load and in-flight attempts.
func (m *loadMeter) report(now time.Duration) []*controlpb.ServiceLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*controlpb.ServiceLoad
	for k, s := range m.series {
		means, loaded := s.means(now, observedSeconds(now))
		if !loaded {
			if s.inFlight == 0 && s.totals[int(now/time.Second)%len(s.totals)] == 0 {
				delete(m.series, k)
			}
			continue
		}
		load := &controlpb.ServiceLoad{Service: k.service, MilliInFlight: means}
		if k.regions != "" {
			load.Regions = strings.Split(k.regions, ",")
		}
		list = append(list, load)
	}
	slices.SortFunc(list, func(a, b *controlpb.ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), slices.Compare(a.Regions, b.Regions))
	})
	return list
}

// readySlots returns the sums of the slots of ready servers by service and failure domain, sorted.
func readySlots(servers []membership.Server) []*controlpb.ReadySlots {
	type place struct{ service, region, domain string }
	sums := map[place]uint32{}
	for _, s := range servers {
		if r := s.Record; balance.State(r.GetState()) == balance.StateReady {
			sums[place{r.GetService(), r.GetRegion(), r.GetFailureDomain()}] += r.GetSlots()
		}
	}
	var list []*controlpb.ReadySlots
	for p, slots := range sums {
		list = append(list, &controlpb.ReadySlots{Service: p.service, Region: p.region, FailureDomain: p.domain, Slots: slots})
	}
	slices.SortFunc(list, func(a, b *controlpb.ReadySlots) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return list
}

// loadService reports the load of this gateway to control replicas. A report is sent only on request of an operator,
// because regular reports of every service would cost each control replica more bytes than its share.
type loadService struct {
	controlpb.UnimplementedGatewayLoadsServer
	d *daemon
}

// Load implements controlpb.GatewayLoadsServer.
func (s *loadService) Load(ctx context.Context, r *controlpb.GatewayLoadRequest) (*controlpb.GatewayLoad, error) {
	name := api.PeerName(ctx)
	if !slices.ContainsFunc(s.d.settings.Control, func(p settings.Replica) bool { return p.Name == name }) {
		err := &api.PeerNameError{Expected: "a control replica of the settings", Got: name}
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	now := s.d.clock.now()
	load := &controlpb.GatewayLoad{
		Name: s.d.settings.Name, Region: s.d.settings.Region, Seconds: uint32(observedSeconds(now)), Services: s.d.path.load.report(now),
	}
	if r.GetWithSlots() {
		s.d.state.do(func(time.Duration) { load.ReadySlots = readySlots(s.d.state.registry.Servers()) })
	}
	return load, nil
}
