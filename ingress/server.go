package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/httplimit"
	"sapphiretray/routing"
)

const (
	// noConfigRetryAfter is the Retry-After while no configuration is known, or a newer one than that in effect is awaited.
	noConfigRetryAfter = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a request that is refused because the process ends soon.
	stoppingRetryAfter = 300 * time.Millisecond
	// refusedBodyTimeout is the time within which the body of a request that is refused without reading it must arrive. The HTTP server
	// reads the rest of a body before it sends the response.
	refusedBodyTimeout = time.Second
)

// Server is the HTTP handler for callers. Create it with New.
type Server struct {
	protocol       Protocol
	routes         Routes
	directory      Directory
	forwarder      Forwarder
	local          LocalGateway
	service        string
	dc             string
	budgets        budgets
	roundRobin     roundRobin
	callerTimeouts callerTimeouts
	balance        *balance
	outdated       func() bool
	confirmedFor   func() (time.Duration, bool)
	stopping       func() bool
	outlasts       func(deadline time.Time) bool
	memory         *httplimit.Budget
	metrics        *metrics
}

// Config holds what a Server needs.
type Config struct {
	Protocol  Protocol
	Routes    Routes
	Directory Directory
	Forwarder Forwarder
	Local     LocalGateway
	// Outdated reports whether a newer configuration than that of Routes may exist: one is known to, or this can't be ruled out.
	Outdated func() bool
	// ConfirmedFor returns the time since the configuration was last known to be the newest one, and false if it never was. It may be nil.
	ConfirmedFor func() (time.Duration, bool)
	// Service is the service of the local upstream.
	Service string
	// DataCentre is the data centre that the instance runs in.
	DataCentre string
	// Registerer registers the metrics.
	Registerer prometheus.Registerer
	// NewBudget returns the retry budget of a service.
	NewBudget func() Budget
	// Stopping reports whether the instance is stopping, so that callers are to close their connections.
	Stopping func() bool
	// Outlasts reports whether a request with a deadline must be refused because the process ends before it. It may be nil.
	Outlasts func(deadline time.Time) bool
	// Memory bounds the requests and responses that are held at the same time; nil selects a budget of its own.
	Memory *httplimit.Budget
}

// New returns a server.
func New(c Config) *Server {
	if c.Outlasts == nil {
		c.Outlasts = func(time.Time) bool { return false }
	}
	if c.ConfirmedFor == nil {
		c.ConfirmedFor = func() (time.Duration, bool) { return 0, false }
	}
	if c.Memory == nil {
		c.Memory = httplimit.NewBudget(httplimit.MessageMemory(0))
	}
	return &Server{
		protocol: c.Protocol, routes: c.Routes, directory: c.Directory, forwarder: c.Forwarder, local: c.Local,
		service: c.Service, dc: c.DataCentre, outdated: c.Outdated, confirmedFor: c.ConfirmedFor, stopping: c.Stopping,
		outlasts: c.Outlasts, budgets: budgets{create: c.NewBudget},
		balance: newBalance(c.Directory.Self(), c.DataCentre), memory: c.Memory, metrics: newMetrics(c.Registerer),
	}
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := arrivalOf(r)
	request := &gateway.Request{
		Method: r.Method, Target: target(r), Host: r.Host, Origin: s.service, Memory: s.memory.Open(r.RemoteAddr),
	}
	written := false
	defer func() {
		if v := recover(); v != nil {
			request.Memory.Close()
			s.recovered(w, request, v, written, arrived)
		}
	}()
	route, f := s.accept(w, r, request, arrived)
	if f != nil {
		request.Memory.Close()
		s.fail(w, request, f, arrived)
		return
	}
	response, err := s.dispatch(r.Context(), request, route)
	if err != nil {
		request.Memory.Close()
		if !errors.As(err, &f) {
			f = &gateway.Failure{Code: code.PeerFailed, Reason: err.Error()}
		}
		s.fail(w, request, f, arrived)
		return
	}
	s.metrics.served(request.Kind, response, time.Since(arrived))
	klog.InfoS("request: served", "id", request.ID, "route", request.Route, "key", request.Key, "status", response.Status,
		"slot", response.InstanceSlot, "waited", response.Waited, "took", response.Took, "total", time.Since(arrived),
		"objectiveLeft", time.Until(request.Objective), "returning", request.Retry, "config", s.routes().Version())
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	// A nil value keeps the HTTP server from adding a header that the upstream did not send.
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	s.closeIfStopping(header)
	w.WriteHeader(response.Status)
	written = true
	writeBody(w, r, response.Body, request.Memory)
}

// MayRunAhead implements AheadPolicy. Requests that may be repeated may also run without a response.
func (s *Server) MayRunAhead(r *http.Request) bool {
	table := s.routes()
	if table == nil || s.stopping() {
		return false
	}
	route := table.Match(hostname(r.Host), r.URL.EscapedPath())
	return route != nil && route.Kind.Retryable()
}

// target returns the path and query of a request. They are left as they were sent, except in an absolute target.
func target(r *http.Request) string {
	if r.URL.IsAbs() {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// closeIfStopping tells the caller to close its connection if the instance is stopping.
func (s *Server) closeIfStopping(header http.Header) {
	if s.stopping() {
		header.Set("Connection", "close")
	}
}

// recovered responds to a request whose handling has panicked with the value v. If the response has begun, the connection is aborted.
func (s *Server) recovered(w http.ResponseWriter, request *gateway.Request, v any, written bool, arrived time.Time) {
	klog.ErrorS(nil, "request: panic", "id", request.ID, "route", request.Route, "panic", v, "stack", string(debug.Stack()))
	if written {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	s.fail(w, request, &gateway.Failure{Code: code.Internal, Reason: "internal error"}, arrived)
}

// accept reads a request with its body into request and finds its route. If it fails, the request holds what is known of it so far.
func (s *Server) accept(
	w http.ResponseWriter, r *http.Request, request *gateway.Request, arrived time.Time,
) (*routing.Route, *gateway.Failure) {
	if hasBody(r) {
		setReadDeadline(w, arrived.Add(refusedBodyTimeout))
	}
	call, err := s.protocol.Parse(r)
	if err != nil {
		return nil, &gateway.Failure{Code: code.BadRequest, Reason: err.Error()}
	}
	request.ID = call.ID
	setRequestID(r, call.ID)
	table := s.routes()
	if table == nil {
		return nil, &gateway.Failure{Code: code.NoOwner, RetryAfter: noConfigRetryAfter, Reason: "no configuration is known yet"}
	}
	route := table.Match(hostname(r.Host), r.URL.EscapedPath())
	if route == nil {
		return nil, s.noRoute(table)
	}
	if limit := table.Limits().MaxHeaderBytes; limit > 0 {
		if size := headerBytes(r); size > limit {
			reason := fmt.Sprintf("the headers have %d bytes, at most %d are allowed", size, limit)
			return route, &gateway.Failure{Code: code.HeadersTooLarge, Reason: reason}
		}
	}
	deadline := arrived.Add(bodyTimeout(route, call))
	if f := s.checkStop(deadline); f != nil {
		return route, f
	}
	if f := s.readBody(w, r, request, table.Limits().MaxBodyBytes, deadline); f != nil {
		return route, f
	}
	s.applyRoute(request, route, table, call, arrived)
	request.Header = gateway.EndToEnd(r.Header)
	return route, nil
}

// checkStop returns a failure if the process may end before a request with a deadline does.
func (s *Server) checkStop(deadline time.Time) *gateway.Failure {
	if !s.outlasts(deadline) {
		return nil
	}
	return &gateway.Failure{
		Code: code.Draining, RetryAfter: stoppingRetryAfter, Reason: "the instance may end before the request does",
	}
}

// noRoute returns the failure of a request that no route of the table matches. Callers don't retry a request that has no route, so the
// failure is temporary if a newer configuration may have one.
func (s *Server) noRoute(table *routing.Table) *gateway.Failure {
	f := &gateway.Failure{Code: code.NoRoute, Reason: "no route of configuration " + strconv.FormatUint(table.Version(), 10)}
	if age, ok := s.confirmedFor(); ok {
		f.Reason += fmt.Sprintf(", confirmed %v ago", age.Round(time.Millisecond))
	}
	if s.outdated() || s.routes() != table {
		f.Code, f.RetryAfter = code.ConfigOutdated, noConfigRetryAfter
	}
	return f
}

// applyRoute sets the fields of a request that depend on its route: service, key, priority and deadlines.
func (s *Server) applyRoute(request *gateway.Request, route *routing.Route, table *routing.Table, call Call, arrived time.Time) {
	request.Route, request.Kind, request.Priority = route.Name, route.Kind, route.Priority
	if parent, ok := s.local.Running(call.Parent); ok {
		request.Nested, request.ParentRoute, request.Priority, request.Weight = true, parent.Route, parent.Priority, parent.Weight
	}
	request.Service = s.roundRobin.next(route)
	request.Key = gateway.NoKey
	if service, ok := table.Service(request.Service); ok && service.Keyed {
		request.Key = call.Key
	}
	left, spent, retry := s.callerTimeouts.observe(route.Name, call.Left)
	request.Retry = retry
	if left == 0 || left > route.Timeout {
		left = route.Timeout
	}
	request.Deadline = arrived.Add(left)
	request.Objective = arrived.Add(route.Objective - spent)
	if request.Objective.After(request.Deadline) {
		request.Objective = request.Deadline
	}
}

// headerBytes returns the size of a request's headers in HTTP/1.1 format.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// bodyTimeout returns the time within which a request's body must arrive: the time that the caller or the route allows for the whole
// request, whichever is shorter.
func bodyTimeout(route *routing.Route, call Call) time.Duration {
	if call.Left > 0 && call.Left < route.Timeout {
		return call.Left
	}
	return route.Timeout
}

// hasBody reports whether a request may have a body.
func hasBody(r *http.Request) bool { return r.Body != nil && r.ContentLength != 0 }

// setReadDeadline sets the time until which a request's body is read; the zero time removes it.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		klog.V(1).InfoS("request: can't set the read deadline of the body", "err", err)
	}
}

// hostname returns the host without a port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// fail responds to a request to which no upstream responded. Unless the request itself is at fault, status 503 with a Retry-After
// means that it did not run.
func (s *Server) fail(w http.ResponseWriter, request *gateway.Request, f *gateway.Failure, arrived time.Time) {
	s.metrics.failed(request.Kind, f.Code, time.Since(arrived))
	klog.InfoS("request: failed", "id", request.ID, "route", request.Route, "service", request.Service, "key", request.Key,
		"code", f.Code, "reason", f.Reason, "slot", f.InstanceSlot, "retryAfter", f.RetryAfter, "took", time.Since(arrived),
		"nested", request.Nested, "returning", request.Retry, "left", timeLeft(request), "config", s.routes().Version())
	s.closeIfStopping(w.Header())
	// The response is also written if the request's context has ended: a caller that has only closed its sending side still reads it.
	entry := f.Code.Entry()
	status := entry.Status()
	switch {
	case f.Code == code.BadRequest, f.Code == code.NoRoute, f.Code == code.TooLarge, f.Code == code.HeadersTooLarge,
		f.Code == code.BodyTimeout:
	case f.NotRun():
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", formatRetryAfter(f.RetryAfter))
	case status < http.StatusInternalServerError:
		status = http.StatusBadGateway
	}
	http.Error(w, fmt.Sprintf("%s: %s", f.Code, f.Reason), status)
}

// timeLeft returns the time to the request's deadline, or zero if its route isn't known.
func timeLeft(r *gateway.Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return time.Until(r.Deadline)
}

// formatRetryAfter returns a time in seconds with three decimals.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 3, 64)
}
