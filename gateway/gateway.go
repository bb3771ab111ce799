// Package gateway is the way to the local upstream. It is the only one that sends requests there, so it alone decides which
// run, which wait and which are refused, and it alone has to stop when the upstream leaves.
package gateway

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/code"
	"sapphiretray/routing"
)

// NoKey marks a request without a key.
const NoKey = -1

// Request is a request for the upstream.
type Request struct {
	// ID names one attempt of a caller; no two attempts have the same.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body. If it is nil, ReadBody returns it; it is called once the request has a slot, or, if bodies are slow to
	// arrive, once it is expected to get one. The body of a refused request need not be sent.
	Body     []byte
	ReadBody func() ([]byte, error)
	// Route is the name of the route, by which service times are learnt.
	Route string
	// Service is the service that the request is for and Origin that of the instance where it began.
	Service string
	Origin  string
	// Key is the request's key or NoKey.
	Key      int
	Kind     routing.Kind
	Priority int
	// Nested requests were sent by an upstream while it served another request.
	Nested bool
	// Returning requests were refused before.
	Returning bool
	// Objective is when the full benefit ends, Deadline when the caller gives up or the route's timeout ends.
	Objective time.Time
	Deadline  time.Time
	// throttled is set while the request counts among the least urgent ones.
	throttled bool
	// fingerprint is that of the method, target and body; it is set once the body is there.
	fingerprint uint64
}

// Response is the upstream's whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Waited is how long the request waited for a slot, and Took how long the upstream needed.
	Waited time.Duration
	Took   time.Duration
	// Slot names the instance whose upstream answered.
	Slot string
}

// Failure is the reason why a request has no response from the upstream.
type Failure struct {
	Code code.Code
	// RetryAfter is when the request may be worth sending again, or 0.
	RetryAfter time.Duration
	// Arrived means that the request reached the upstream.
	Arrived bool
	// Owner is the slot of the instance that the request's key was released to, if that is known.
	Owner string
	// Slot names the instance that failed to serve the request.
	Slot   string
	Reason string
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Reason }

// NotRun reports whether the request did not run and never will.
func (f *Failure) NotRun() bool { return f.Code.Entry().Ran() == code.RanNo }

// Load is what an upstream or its gateway says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pressure is the share of requests that were refused lately for want of slots.
	Pressure float64
}

// Reading is what a response of the upstream says apart from its content.
type Reading struct {
	// Genuine responses bear the mark of an upstream.
	Genuine bool
	// NotRun means that the upstream states that it did not run the request.
	NotRun bool
	// Misdirected means that another upstream has the address now, or that it doesn't hold the key.
	Misdirected bool
	// UpstreamID names the upstream that answered, where it says so.
	UpstreamID string
}

// Protocol translates between requests and what the upstream understands.
type Protocol interface {
	// Prepare sets the headers of a request to the upstream with the given id; left is the time that remains.
	Prepare(header http.Header, r *Request, upstreamID string, left time.Duration)
	// Matches reports whether a response belongs to a request.
	Matches(header http.Header, id string) bool
	// Read interprets a response.
	Read(status int, header http.Header) Reading
}

// Keys decides which keys the upstream may serve now.
type Keys interface {
	// Admit returns nil if the upstream may serve a key. It waits until the given time for a key that is being claimed.
	Admit(ctx context.Context, key uint16, until time.Time) *Failure
}
