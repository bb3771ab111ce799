// Package routing is the configuration in force: which requests go to which service, and how they may be treated.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be done with a request of a route.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Upload:
		return "upload"
	default:
		return "unknown"
	}
}

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Share is a service that takes part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route describes how requests under a host and a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which a response has its full benefit.
	Objective time.Duration
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Shares are the services that the requests are divided among by weight.
	Shares []Share
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// Keyed services divide their keys among their upstreams.
	Keyed bool
	// Warmup is how long keys are slow that an upstream got without a handover.
	Warmup time.Duration
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// HealthPath is the path of the health check.
	HealthPath string
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is an immutable configuration.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// New checks a configuration as a whole. The error is a Faults with everything that is wrong.
func New(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{version: version, limits: limits, services: make(map[string]Service), hosts: make(map[string][]*Route)}
	faults := t.check(services, routes)
	if len(faults) > 0 {
		return nil, faults
	}
	for n := range routes {
		t.hosts[routes[n].Host] = append(t.hosts[routes[n].Host], &routes[n])
	}
	for _, ofHost := range t.hosts {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Version returns the version, which grows with each configuration; it is 0 for nil, while none is known.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service and false if there is none with this name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services in the order of their names.
func (t *Table) Services() []Service {
	services := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		services = append(services, s)
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
