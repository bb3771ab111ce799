// Package ingress serves the callers that connect to this instance: it finds the route and the instance that is to serve a
// request, forwards it there, and tries again where that is safe.
package ingress

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Call is what a caller says of its request.
type Call struct {
	// ID names this attempt.
	ID string
	// Left is how long the caller will wait, or 0 if it doesn't say.
	Left time.Duration
	// Key is the request's key or gateway.NoKey.
	Key int
	// Parent is the id of the request that the upstream may be serving while it sends this one, or empty.
	Parent string
}

// Protocol translates between HTTP requests and what the product knows of them.
type Protocol interface {
	// Parse reads what the caller says. An error means that the request is malformed.
	Parse(r *http.Request) (Call, error)
}

// Target is an instance that can serve a request.
type Target struct {
	// Slot names the place that the instance runs in.
	Slot       string
	Address    string
	DataCentre string
}

// Directory knows the other instances.
type Directory interface {
	// Self returns the slot of this instance.
	Self() string
	// Targets returns the instances of a service whose upstreams take work.
	Targets(service string) []Target
	// Owner returns the instance that owns a key, and false if none is known.
	Owner(service string, key uint16) (Target, bool)
	// Instance returns the instance in a slot, and false if none is known or it can't be reached.
	Instance(slot string) (Target, bool)
	// Changed returns a channel that is closed when owners or members change.
	Changed() <-chan struct{}
	// Leaving tells that an instance takes no more work.
	Leaving(slot string)
	// Unreachable tells that an instance could not be reached.
	Unreachable(slot string)
}

// Forwarder sends requests to other instances.
type Forwarder interface {
	Do(ctx context.Context, address string, r *gateway.Request) (forward.Result, error)
}

// Local sends requests to the local upstream.
type Local interface {
	Do(ctx context.Context, r *gateway.Request) (*gateway.Response, error)
	Load() gateway.Load
	// Runs reports whether the upstream runs a request with this id now.
	Runs(id string) bool
	// NestedCall takes the load where a call of the local upstream went.
	NestedCall(load gateway.Load)
}

// Budget bounds repeated arrivals at a service.
type Budget interface {
	// Attempt counts a first arrival.
	Attempt()
	// Retry takes a repeated arrival from the budget and reports whether there was one.
	Retry() bool
}

// Routes returns the configuration in force, or nil while none is known.
type Routes func() *routing.Table
