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
	slotReports = 2
)

// Load collects the load of the gateways that may hold a lease. A gateway that does not answer in time is named.
func (s *operatorServer) Load(ctx context.Context, _ *controlpb.LoadRequest) (*controlpb.LoadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return collectLoads(loadQuestions(s.r.directory.gateways(time.Now())), func(q loadQuestion) (*controlpb.GatewayLoad, error) {
		return s.r.askLoad(ctx, q)
	}), nil
}

// loadQuestion is what one gateway is asked.
type loadQuestion struct {
	name, address string
	request       *controlpb.GatewayLoadRequest
}

// loadQuestions leaves out gateways whose lease has run out: they refuse every request.
func loadQuestions(gateways []*controlpb.GatewayStatus) []loadQuestion {
	var questions []loadQuestion
	withSlots := map[string]int{}
	for _, g := range gateways {
		if time.Duration(g.AgeMs)*time.Millisecond >= api.ConfigurationLease+api.LeaseMargin {
			continue
		}
		withSlots[g.Region]++
		request := &controlpb.GatewayLoadRequest{WithSlots: withSlots[g.Region] <= slotReports}
		questions = append(questions, loadQuestion{name: g.Name, address: g.PeerAddress, request: request})
	}
	return questions
}

// collectLoads asks all gateways at the same time, so that their seconds coincide.
func collectLoads(questions []loadQuestion, ask func(loadQuestion) (*controlpb.GatewayLoad, error)) *controlpb.LoadAnswer {
	answer := &controlpb.LoadAnswer{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, q := range questions {
		all.Go(func() {
			load, err := ask(q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.Silent = append(answer.Silent, q.name)
				return
			}
			answer.Gateways = append(answer.Gateways, load)
		})
	}
	all.Wait()
	slices.Sort(answer.Silent)
	slices.SortFunc(answer.Gateways, func(a, b *controlpb.GatewayLoad) int { return cmp.Compare(a.Name, b.Name) })
	return answer
}

func (r *replica) askLoad(ctx context.Context, q loadQuestion) (*controlpb.GatewayLoad, error) {
	to := r.dialer()
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
