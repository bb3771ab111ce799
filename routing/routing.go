// Package routing holds the route configuration: which requests go to which service, how they may be retried, and which limits
// apply.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells whether requests of a route may run more than once.
type Kind int

// The kinds of requests. Their numbers are sent between instances, so they must not change.
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

// Retryable reports whether requests of this kind may run more than once, so that they may be retried even after they ran.
func (k Kind) Retryable() bool { return k == Idempotent }

// Share is the part of a route's requests that a service receives, in proportion to its weight.
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
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the target latency: later responses have less value to the caller.
	Objective time.Duration
	// MaxAttempts bounds how often one request is sent to upstreams.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Shares lists the services that the route's requests are divided among by weight.
	Shares []Share
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// Keyed means that each key of the service is owned by one of its upstreams, which serves all requests with that key.
	Keyed bool
	// Warmup is how long requests for a key are slower after an upstream got the key without a handover.
	Warmup time.Duration
	// MaxConnections bounds the connections to each upstream.
	MaxConnections int
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// ColdStart is how long an upstream is cold after it has started, and ColdRate the number of requests per second that it takes
	// meanwhile. 0 means that upstreams aren't limited after a start.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits bound the requests and connections of callers. A limit of 0 is none.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of one request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which the headers of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Table is an immutable route configuration. Create it with New.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// New returns a table after checking the whole configuration. The error is of type ValidationErrors and lists all errors.
func New(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{version: version, limits: limits, services: make(map[string]Service), hosts: make(map[string][]*Route)}
	errs := t.check(services, routes)
	if len(errs) > 0 {
		return nil, errs
	}
	for n := range routes {
		t.hosts[routes[n].Host] = append(t.hosts[routes[n].Host], &routes[n])
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Version returns the version, which grows with each configuration. It is 0 for a nil table, which means that none is known yet.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with a name, and false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (t *Table) Services() []Service {
	services := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		services = append(services, s)
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Match returns the route of a host with the longest prefix of a path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
