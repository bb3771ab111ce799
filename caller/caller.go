// Package caller is the HTTP server for requests of callers and for requests that other instances forward. It routes a request
// to the instance that owns its key, retries it, and runs requests of some routes at most once by their id.
package caller

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/upstream"
)

// Admission is the permission to send one request of a partition to the upstream.
type Admission interface {
	// Fence returns the fencing token of the partition's grant.
	Fence() uint64
	// Epoch returns the epoch of the partition's entry in the map.
	Epoch() uint64
	// OwnedSince returns the start of this incarnation's ownership of the partition.
	OwnedSince() time.Time
	// Valid reports whether the lease has been valid without interruption since the admission.
	Valid() bool
	// Expires returns the currently known end of the lease.
	Expires() time.Time
	// Done ends the admission. It must be called exactly once.
	Done()
}

// Ownership tells which partitions of the local service this incarnation may serve now.
type Ownership interface {
	// Admit returns an admission, or an error if the partition may not be served now. The error carries code.NotOwner, code.Moved,
	// code.NoOwner, code.Draining or code.LeaseExpired.
	Admit(partition int) (Admission, error)
}

// Directory provides the known incarnations and partition maps.
type Directory interface {
	// Self returns the local incarnation.
	Self() member.Incarnation
	// Service returns the local service.
	Service() string
	// Map returns the newest map of a service, or nil if there is none.
	Map(service string) *partition.Map
	// Record returns the record of an incarnation.
	Record(member.Incarnation) (member.Record, bool)
	// ReportUnreachable reports that a request could not be forwarded to an incarnation. It doesn't block.
	ReportUnreachable(member.Incarnation)
	// Refresh requests a map of at least the given version, which another instance reported. It doesn't block.
	Refresh(service string, newer uint64)
}

// Route holds the rules by which requests of one route are served.
type Route interface {
	// Service returns the name of the service that serves the requests.
	Service() string
	// Key returns the key of a request, or false if it has none.
	Key(*http.Request) (string, bool)
	// Importance is 0 to 9; higher values take precedence.
	Importance() int
	// Timeout limits the duration of a request; 0 means DefaultTimeout.
	Timeout() time.Duration
	// Idempotent reports whether the request may be retried after it may have run.
	Idempotent() bool
	// Once reports whether requests that aren't idempotent run at most once per request id.
	Once() bool
	// MaxBodyBytes limits the size of a request's body; 0 means no limit.
	MaxBodyBytes() int64
}

// Routes finds the route of a request.
type Routes interface {
	// Match returns false if no route matches.
	Match(path, method string) (Route, bool)
	// Outdated reports whether there may be newer routes: they are known to exist, or this can't be ruled out.
	Outdated() bool
}

// Limiter limits the number of requests that run at the upstream concurrently.
type Limiter interface {
	// Acquire waits for a concurrency slot. The returned function frees it; latency is the time since Acquire returned, and ok reports
	// whether the request succeeded. Errors carry code.Shed or code.TooLate.
	Acquire(ctx context.Context, importance int, deadline time.Time) (release func(latency time.Duration, ok bool), err error)
}

// Budget limits the number of retries in relation to the number of first attempts.
type Budget interface {
	// Attempt counts a first attempt.
	Attempt()
	// Retry takes one retry from the budget, or returns false if the budget is spent.
	Retry() bool
}

// Upstream sends requests to the local upstream.
type Upstream interface {
	// Do sends a request; see upstream.Client.Do for its errors.
	Do(ctx context.Context, r *upstream.Request) (*upstream.Response, error)
	// RefusesConnections reports whether the upstream refuses connections.
	RefusesConnections(ctx context.Context) bool
}

const (
	// DefaultTimeout applies to routes without a timeout. It is equal to config.DefaultTimeout.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout limits the timeout of every request, so that all requests in flight end before an instance's stop timeout (setting
	// timeouts.stop, 30 s by default). It is equal to config.MaxTimeout.
	MaxTimeout = 25 * time.Second
	// DefaultHold limits how long a request waits for its partition to get an owner. It is equal to the default of the setting
	// timeouts.hold.
	DefaultHold = 2 * time.Second
	// MaxReplayableBody is the number of bytes up to which a request body is buffered, so that a retry can send it again.
	MaxReplayableBody = 64 << 10
)

// unlimited is the default Limiter and Budget; it allows everything.
type unlimited struct{}

func (unlimited) Acquire(context.Context, int, time.Time) (func(time.Duration, bool), error) {
	return func(time.Duration, bool) {}, nil
}

func (unlimited) Attempt() {}

func (unlimited) Retry() bool { return true }
