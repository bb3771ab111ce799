// Package caller is the HTTP server for callers and for requests that other instances forward.
package caller

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/upstream"
)

// Admission allows one request of a partition to be handed to the upstream.
type Admission interface {
	// Fence returns the fencing token of the grant.
	Fence() uint64
	// Epoch returns the epoch of the partition's entry.
	Epoch() uint64
	// Since returns the start of this incarnation's ownership of the partition.
	Since() time.Time
	// Valid reports whether the lease has been valid without interruption since the admission.
	Valid() bool
	// Expires returns the end of the lease as known now.
	Expires() time.Time
	// Done ends the admission. It is called once.
	Done()
}

// Owner decides which partitions of the local service this incarnation may serve now.
type Owner interface {
	// Admit returns an error that carries code.NotOwner, code.Moved, code.NoOwner, code.Draining or code.LeaseExpired if the
	// partition may not be served now.
	Admit(partition int) (Admission, error)
}

// Directory knows members and maps.
type Directory interface {
	// Self returns the local incarnation.
	Self() member.Incarnation
	// Service returns the local service.
	Service() string
	// Map returns the newest map of a service, or nil if there is none.
	Map(service string) *partition.Map
	// Record returns the record of an incarnation.
	Record(member.Incarnation) (member.Record, bool)
	// Suspect tells that a request could not be forwarded to an incarnation. It returns at once.
	Suspect(member.Incarnation)
	// Refresh asks for a map that is at least as new as a version that another instance named. It returns at once.
	Refresh(service string, newer uint64)
}

// Route says how requests are served.
type Route interface {
	Service() string
	// Key returns the key of a request and false if it has none.
	Key(*http.Request) (string, bool)
	// Importance is 0 to 9, higher first.
	Importance() int
	// Timeout bounds a request; 0 means DefaultTimeout.
	Timeout() time.Duration
	// Idempotent reports whether the request may be repeated.
	Idempotent() bool
	// Once reports whether a request that isn't idempotent runs at most once by its id.
	Once() bool
	// MaxBodyBytes bounds the body of a request; 0 means no bound.
	MaxBodyBytes() int64
}

// Routes finds the route of a request.
type Routes interface {
	Match(path, method string) (Route, bool)
}

// Limiter bounds the requests that run at the upstream at once.
type Limiter interface {
	// Acquire waits for a slot. The error carries code.Shed or code.TooLate. The function returned frees the slot.
	Acquire(ctx context.Context, importance int, deadline time.Time) (release func(latency time.Duration, ok bool), err error)
}

// Budget bounds retries relative to first attempts.
type Budget interface {
	// Attempt counts a first attempt.
	Attempt()
	// Retry takes one retry from the budget and reports whether there was one.
	Retry() bool
}

// Upstream sends requests to the local upstream.
type Upstream interface {
	Do(ctx context.Context, r *upstream.Request) (*upstream.Response, error)
	// Gone reports whether the upstream refuses connections.
	Gone(ctx context.Context) bool
}

const (
	// DefaultTimeout bounds requests of routes without a timeout.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout bounds every request, so that all in flight end before an instance's stop timeout.
	MaxTimeout = 25 * time.Second
	// DefaultHold is the time for which a request waits for a partition's owner.
	DefaultHold = 2 * time.Second
	// SmallBody is the size up to which a body is kept so that it can be sent again.
	SmallBody = 64 << 10
)

type unlimited struct{}

func (unlimited) Acquire(context.Context, int, time.Time) (func(time.Duration, bool), error) {
	return func(time.Duration, bool) {}, nil
}

func (unlimited) Attempt() {}

func (unlimited) Retry() bool { return true }
