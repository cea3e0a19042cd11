package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
)

const (
	// loadTimeout bounds the collection of load reports. It is short because an operator waits for it, perhaps in an
	// emergency.
	loadTimeout = 1500 * time.Millisecond
	// slotReportsPerRegion is the number of gateways of each region that are also asked for the slots. All gateways know
	// all servers, so the second report is only needed if the first gateway does not answer.
	slotReportsPerRegion = 2
)

// Load collects the load of the gateways that may hold a lease. The answer names gateways that do not respond in time.
func (s *operatorServer) Load(ctx context.Context, _ *controlpb.LoadRequest) (*controlpb.LoadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return collectLoads(loadQueries(s.r.directory.gatewayStatuses(time.Now())), func(q loadQuery) (*controlpb.GatewayLoad, error) {
		return s.r.queryLoad(ctx, q)
	}), nil
}

// loadQuery is the load request to one gateway.
type loadQuery struct {
	name, address string
	request       *controlpb.GatewayLoadRequest
}

// loadQueries returns a query for each gateway whose lease may be valid. Other gateways are left out, because they
// refuse every request.
func loadQueries(gateways []*controlpb.GatewayStatus) []loadQuery {
	var queries []loadQuery
	withSlots := map[string]int{}
	for _, g := range gateways {
		if time.Duration(g.AgeMs)*time.Millisecond >= api.ConfigurationLease+api.LeaseMargin {
			continue
		}
		withSlots[g.Region]++
		request := &controlpb.GatewayLoadRequest{WithSlots: withSlots[g.Region] <= slotReportsPerRegion}
		queries = append(queries, loadQuery{name: g.Name, address: g.PeerAddress, request: request})
	}
	return queries
}

// collectLoads queries all gateways concurrently, so that their reports cover the same second.
func collectLoads(queries []loadQuery, query func(loadQuery) (*controlpb.GatewayLoad, error)) *controlpb.LoadAnswer {
	answer := &controlpb.LoadAnswer{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, q := range queries {
		wg.Go(func() {
			load, err := query(q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.Silent = append(answer.Silent, q.name)
				return
			}
			answer.Gateways = append(answer.Gateways, load)
		})
	}
	wg.Wait()
	slices.Sort(answer.Silent)
	slices.SortFunc(answer.Gateways, func(a, b *controlpb.GatewayLoad) int { return cmp.Compare(a.Name, b.Name) })
	return answer
}

func (r *replica) queryLoad(ctx context.Context, q loadQuery) (*controlpb.GatewayLoad, error) {
	d := r.peerDialer()
	if r.tls != nil {
		d.tls = api.PeerTLS(r.tls.Certificates, r.tls.RootCAs, q.name)
	}
	conn, err := d.dial(q.address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return controlpb.NewGatewayLoadsClient(conn).Load(ctx, q.request)
}
