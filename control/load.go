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
	// loadTimeout bounds the collection of load reports: an operator waits for it, perhaps in an emergency.
	loadTimeout = 1500 * time.Millisecond
	// slotReports is the number of gateways of each region that are asked for the slots as well. All gateways know all
	// servers, so a second report only covers the silence of the first.
	slotReportsPerRegion = 2
)

// Load collects the load of the gateways that may hold a lease. A gateway that does not answer in time is named.
func (s *operatorServer) Load(ctx context.Context, _ *controlpb.LoadRequest) (*controlpb.LoadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return collectLoads(loadQueries(s.r.directory.gatewayStatuses(time.Now())), func(q loadQuery) (*controlpb.GatewayLoad, error) {
		return s.r.queryLoad(ctx, q)
	}), nil
}

// loadQuestion is what one gateway is asked.
type loadQuery struct {
	name, address string
	request       *controlpb.GatewayLoadRequest
}

// loadQuestions leaves out gateways whose lease has run out: they refuse every request.
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

// collectLoads asks all gateways at the same time, so that their seconds coincide.
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
	to := r.peerDialer()
	if r.tls != nil {
		to.tls = api.PeerTLS(r.tls.Certificates, r.tls.RootCAs, q.name)
	}
	conn, err := to.dial(q.address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return controlpb.NewGatewayLoadsClient(conn).Load(ctx, q.request)
}
