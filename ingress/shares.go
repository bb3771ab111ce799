package ingress

import (
	"math/rand/v2"
	"sync"

	"sapphiretray/routing"
)

const (
	// maxRoundStart bounds the requests of a round that an instance passes over before its first one.
	maxRoundStart = 1000
	// creditTolerance is the difference up to which credits are equal, since sums of fractions aren't exact.
	creditTolerance = 1e-9
)

// roundRobin divides the requests of each route among its services by smooth weighted round robin, beginning anywhere in a round: in a
// large deployment, an instance gets so few requests of a route that their shares would differ from the weights if all began alike. The
// zero value is ready to use.
type roundRobin struct {
	mu sync.Mutex
	// byRoute holds, by route and service, how many requests the service is behind its share.
	byRoute map[string]map[string]float64
}

// next returns the service for the next request of a route: the one that is furthest behind its share.
func (r *roundRobin) next(route *routing.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRoute == nil {
		r.byRoute = make(map[string]map[string]float64)
	}
	credits := r.byRoute[route.Name]
	if credits == nil {
		credits = make(map[string]float64)
		r.byRoute[route.Name] = credits
		for range rand.N(max(1, min(totalWeight(route.Shares), maxRoundStart))) {
			choose(route.Shares, credits)
		}
	}
	return choose(route.Shares, credits)
}

// choose returns the service that is furthest behind its share, and counts a request for it.
func choose(shares []routing.Share, credits map[string]float64) string {
	total := totalWeight(shares)
	chosen := ""
	for _, share := range shares {
		credits[share.Service] += float64(share.Weight) / float64(total)
		if share.Weight > 0 && (chosen == "" || credits[share.Service] > credits[chosen]+creditTolerance) {
			chosen = share.Service
		}
	}
	credits[chosen]--
	return chosen
}

func totalWeight(shares []routing.Share) int {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	return total
}

// budgets holds the retry budget of each service.
type budgets struct {
	create func() Budget
	mu     sync.Mutex
	// byService holds the budgets that were created so far.
	byService map[string]Budget
}

// get returns the budget of a service and creates it if needed.
func (b *budgets) get(service string) Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[string]Budget)
	}
	budget := b.byService[service]
	if budget == nil {
		budget = b.create()
		b.byService[service] = budget
	}
	return budget
}
