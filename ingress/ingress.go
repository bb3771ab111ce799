// Package ingress serves the callers that connect to this instance. It finds the route of a request and the instance that is to
// serve it, sends the request to the local upstream or to that instance, and retries it where that is safe.
package ingress

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Call holds the metadata that a caller sends with its request.
type Call struct {
	// ID identifies this attempt of the request.
	ID string
	// Left is how much longer the caller waits for a response, or 0 if it doesn't say.
	Left time.Duration
	// Key is the request's key, or gateway.NoKey.
	Key int
	// Parent is the id of the request that the calling upstream was serving when it sent this one, or empty.
	Parent string
}

// Protocol reads the metadata of callers' HTTP requests.
type Protocol interface {
	// Parse returns the request's metadata. An error means that the request is malformed.
	Parse(r *http.Request) (Call, error)
}

// Target is an instance that can serve a request.
type Target struct {
	// Slot is the name of the slot that the instance runs in.
	Slot string
	// Address is the address to forward requests to.
	Address    string
	DataCentre string
}

// Directory knows the other instances.
type Directory interface {
	// Self returns the slot of this instance.
	Self() string
	// Targets returns the instances of a service whose upstreams accept requests.
	Targets(service string) []Target
	// Owner returns the instance that owns a key, and false if none is known.
	Owner(service string, key uint16) (Target, bool)
	// Instance returns the instance in a slot, and false if none is known or it can't be reached.
	Instance(slot string) (Target, bool)
	// Evacuated reports whether a request can't be served for now because no upstream of the service is outside of evacuated data
	// centres, or because the owner of its key is in one that is closed and the key doesn't move. key may be gateway.NoKey.
	Evacuated(service string, key int) bool
	// Changed returns a channel that is closed when the owners of keys or the known instances change.
	Changed() <-chan struct{}
	// MarkLeaving records that an instance accepts no more requests.
	MarkLeaving(slot string)
	// MarkUnreachable records that an instance could not be reached.
	MarkUnreachable(slot string)
}

// Forwarder sends requests to other instances.
type Forwarder interface {
	// Do sends a request to the instance at an address.
	Do(ctx context.Context, address string, r *gateway.Request) (forward.Result, error)
}

// LocalGateway is the gateway to the local upstream.
type LocalGateway interface {
	// Do sends a request to the local upstream.
	Do(ctx context.Context, r *gateway.Request) (*gateway.Response, error)
	// RouteLoad returns the current load, with the estimates for requests of a route.
	RouteLoad(route string) gateway.Load
	// Running returns the request with this id that the upstream is running, and false if there is none.
	Running(id string) (gateway.Parent, bool)
	// ObserveNestedCall records the load of the instance to which a nested call of the local upstream was sent.
	ObserveNestedCall(r *gateway.Request, load gateway.Load)
}

// Budget bounds the retries of requests to a service.
type Budget interface {
	// Attempt counts the first attempt of a request.
	Attempt()
	// Retry takes one retry from the budget and reports whether there was one.
	Retry() bool
}

// Routes returns the route configuration in effect, or nil while none is known.
type Routes func() *routing.Table
