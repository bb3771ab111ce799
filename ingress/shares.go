package ingress

import (
	"sync"

	"sapphiretray/routing"
)

// shares divides the requests of each route among its services so that at any time each has had its weight's part. The zero
// value is ready to use.
type shares struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// next returns the service of the next request: the one that is furthest behind its part.
func (s *shares) next(r *routing.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[string]map[string]float64)
	}
	credits := s.routes[r.Name]
	if credits == nil {
		credits = make(map[string]float64)
		s.routes[r.Name] = credits
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	chosen := ""
	for _, share := range r.Shares {
		credits[share.Service] += float64(share.Weight) / float64(total)
		if share.Weight > 0 && (chosen == "" || credits[share.Service] > credits[chosen]) {
			chosen = share.Service
		}
	}
	credits[chosen]--
	return chosen
}

// budgets holds one budget for each service.
type budgets struct {
	create func() Budget
	mu     sync.Mutex
	known  map[string]Budget
}

func (b *budgets) get(service string) Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = make(map[string]Budget)
	}
	budget := b.known[service]
	if budget == nil {
		budget = b.create()
		b.known[service] = budget
	}
	return budget
}
