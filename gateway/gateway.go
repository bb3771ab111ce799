// Package gateway sends requests to the local upstream. All requests to the upstream pass through its gateway, which decides
// whether each one runs, waits or is refused, tracks the upstream's registration, and stops sending when the upstream leaves.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/routing"
)

// ErrStopping is the cause with which the contexts of requests are cancelled that are in progress when the process has to end.
var ErrStopping = errors.New("the instance has to end")

// NoKey is the Request.Key of a request without a key.
const NoKey = -1

// Request is a request to the upstream.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body. If it is nil, ReadBody is called to fetch it once the request has a concurrency slot, or, if bodies of
	// the route take long to transfer, once it is expected to get one. The body of a refused request need not be transferred.
	Body     []byte
	ReadBody func() ([]byte, error)
	// BodySize is the size of the body in bytes if it is known before it is read, or 0.
	BodySize int64
	// Route is the name of the route. Service times are estimated per route.
	Route string
	// Service is the requested service, Origin the service of the instance that received the request from its caller.
	Service string
	Origin  string
	// Key is the request's key or NoKey.
	Key  int
	Kind routing.Kind
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Nested is set for a request that an upstream sent while it served another request, whose route ParentRoute is. It has the priority of
	// that request. ParentRoute is known to the instance beside that upstream only.
	Nested      bool
	ParentRoute string
	// Weight is the number of requests that this one stands for, at least 1: all but this one weren't sent, since the requested service has
	// no room for their nested calls. 0 counts as 1.
	Weight float64
	// Retry is set for the retry of a refused request.
	Retry bool
	// Objective is the time by which the response should arrive. Deadline is the time at which the caller gives up or the route's
	// timeout ends.
	Objective time.Time
	Deadline  time.Time
	// Memory is that of the request's body and of the responses to it. It is closed by whoever received the request. A request without one
	// has its own memory for each response until that has been read.
	Memory *httplimit.Claim
	// Within bounds the expected time until the response: the request is refused with code.Busy if it would take longer here, because
	// another instance is expected to respond sooner. 0 is no bound.
	Within time.Duration
	// Spilled is set for a request that left its data centre although that has upstreams of the service. It is refused with code.Busy
	// unless room is left beside the requests of this data centre.
	Spilled bool
	// admittedShare is the share of the requests of the route that the services which they call have room for.
	admittedShare float64
	// fingerprint is set once the body has been read.
	fingerprint uint64
}

// Response is a complete response of the upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Waited is the time from the request's arrival at the gateway until it had a concurrency slot of the upstream and its key was
	// admitted, Took how long the upstream took to respond.
	Waited time.Duration
	Took   time.Duration
	// InstanceSlot identifies the instance whose upstream responded.
	InstanceSlot string
}

// Failure is the reason why a request has no response from the upstream.
type Failure struct {
	Code code.Code
	// RetryAfter is the delay after which a retry may succeed, or 0 if none is suggested.
	RetryAfter time.Duration
	// Arrived is set if the request reached the upstream or may have reached it.
	Arrived bool
	// OwnerSlot is the slot of the instance to which the request's key was released, if known.
	OwnerSlot string
	// InstanceSlot identifies the instance that failed to serve the request.
	InstanceSlot string
	Reason       string
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Reason }

// NotRun reports whether it is certain that the request has not run and never will.
func (f *Failure) NotRun() bool { return f.Code.Entry().Ran() == code.RanNo }

// Load is the load of an upstream, as reported by it or its gateway.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pressure is the share of recent requests that were refused because no slot was free in time, from 0 to 1. Instances of earlier
	// versions throttle by it.
	Pressure float64
	// ServiceTime is the time that the upstream usually needs for a request of the route for which the load was asked, or 0 if it isn't
	// known.
	ServiceTime time.Duration
	// Slowness is how long work takes at the upstream now, as a multiple of the usual time, or 0 if it isn't known.
	Slowness float64
	// StartRate is the number of requests per second that may begin at the upstream while it is cold, or 0 if it isn't cold.
	StartRate float64
	// Waits holds the expected waits for a slot by priority, the most urgent first. Less urgent requests wait at least as long as the last
	// one.
	Waits []time.Duration
	// Room holds the room for requests of each priority, the most urgent first, as a multiple of what they ask for. It is ample for those
	// that are left out.
	Room []float64
}

// ampleRoom is the room for requests of a priority for which no other is reported.
const ampleRoom = 1.5

// RoomFor returns the room for requests of a priority, as a multiple of what they ask for. Below 1, it is the share that can be served.
func (l Load) RoomFor(priority int) float64 {
	if priority < 0 || priority >= len(l.Room) {
		return ampleRoom
	}
	return l.Room[priority]
}

// ResponseInfo is the metadata of an upstream's response, as interpreted by its Protocol.
type ResponseInfo struct {
	// Genuine is set if the headers show that the response was made by an upstream, not by another server or a proxy.
	Genuine bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if another upstream has the address now, or if the upstream doesn't hold the key.
	Misdirected bool
	// UpstreamID is the id of the upstream that responded, or empty if the response doesn't contain it.
	UpstreamID string
	// Report is the load that the upstream states. It is zero if the response contains no report or a malformed one; ReportError then is
	// the reason.
	Report      UpstreamReport
	ReportError error
	// ColdFor is how much longer the upstream stays cold, as it says in responses to health checks, or 0 if it doesn't say that it is cold.
	// ColdErr is the error of a value that can't be read.
	ColdFor time.Duration
	ColdErr error
}

// UpstreamReport is the load that an upstream states in a response.
type UpstreamReport struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes at the upstream now, as a multiple of the time at an upstream of mean speed, or 0 if it isn't stated.
	Slowness float64
}

// Protocol translates between requests and the headers that the upstream understands.
type Protocol interface {
	// Prepare sets the headers of a request to the upstream with the given id. left is the time until the deadline that the
	// upstream should keep, which is a little before r.Deadline.
	Prepare(header http.Header, r *Request, upstreamID string, left time.Duration)
	// Matches reports whether a response belongs to the request with the given id.
	Matches(header http.Header, id string) bool
	// Read interprets the status and headers of a response.
	Read(status int, header http.Header) ResponseInfo
}

// Keys decides which keys the upstream may currently serve.
type Keys interface {
	// Admit returns nil if the upstream may serve the key. If the key is being claimed, it waits until the given time.
	Admit(ctx context.Context, key uint16, until time.Time) *Failure
}
