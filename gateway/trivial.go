package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherwall.example/api/controlpb"
)

// trivialState is a stand-in for membership and balance: first server that fits.
type trivialState struct {
	mu      sync.Mutex
	servers []announcement
	grant   uint64
}

func (s *trivialState) Register(kind announceKind, a announcement) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = slices.DeleteFunc(s.servers, func(x announcement) bool { return x.Address == a.Address })
	if kind != kindLeave {
		s.servers = append(s.servers, a)
	}
	s.grant++
	return s.grant, nil
}

func (s *trivialState) Pick(_ context.Context, q *query) (selection, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.servers {
		if a.Service == q.service && !slices.Contains(q.tried, a.Address) && (q.allRegions || slices.Contains(q.regions, a.Region)) {
			return trivialSelection{target{a.Service, a.Address, a.Region, a.FailureDomain}}, nil
		}
	}
	return nil, refuse(NoServer, "no backend server").after(time.Second)
}

type trivialSelection struct{ t target }

func (s trivialSelection) Server() target { return s.t }
func (s trivialSelection) Done(result)    {}

type trivialService struct {
	Credential  string `yaml:"credential_sha256"`
	ClaimRegion string `yaml:"claim_region"`
	Rules       []struct {
		Name, Path            string
		Methods, Callers      []string
		Idempotent            bool
		Deadline, Hedge       time.Duration
		HomeRegions, KeepIn   []string
		MaxBody               int64
		IdempotencyKeyOptions string
	}
}

type trivialMember struct {
	Tenants map[string]struct {
		HomeRegions []string `yaml:"home_regions"`
		Callers     map[string]struct {
			Token string `yaml:"token_sha256"`
		}
	}
}

func trivialCompile(sections []*controlpb.Section) (*view, error) {
	v := &view{callers: map[[32]byte]caller{}, services: map[string]*service{}}
	for _, s := range sections {
		kind, name, _ := strings.Cut(s.GetName(), "/")
		switch kind {
		case "services":
			var t trivialService
			if err := yaml.Unmarshal([]byte(s.GetText()), &t); err != nil {
				return nil, err
			}
			svc := &service{name: name, credential: trivialSum(t.Credential), claimRegion: t.ClaimRegion}
			for _, r := range t.Rules {
				svc.rules = append(svc.rules, &rule{name: r.Name, service: svc, methods: r.Methods, prefix: r.Path, callers: r.Callers,
					idempotent: r.Idempotent, homeRegions: r.HomeRegions, keepIn: r.KeepIn, deadline: r.Deadline, hedge: r.Hedge, maxBody: defaultMaxBody})
			}
			v.services[name] = svc
		case "members":
			var t trivialMember
			if err := yaml.Unmarshal([]byte(s.GetText()), &t); err != nil {
				return nil, err
			}
			for tenant, x := range t.Tenants {
				for caller_, y := range x.Callers {
					_ = caller_
					v.callers[trivialSum(y.Token)] = caller{member: name, tenant: tenant, homeRegions: x.HomeRegions}
				}
			}
		}
	}
	return v, nil
}

func trivialSum(text string) (sum [sha256.Size]byte) {
	b, _ := hex.DecodeString(text)
	copy(sum[:], b)
	return sum
}
