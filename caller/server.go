package caller

import (
	"net/http"
	"time"

	"sapphiretray/httplimit"
	"sapphiretray/peer"

	"github.com/prometheus/client_golang/prometheus"
)

// Server serves requests of callers and forwarded requests. Create it with New.
type Server struct {
	ownership   Ownership
	directory   Directory
	routes      Routes
	upstream    Upstream
	limiter     Limiter
	budget      Budget
	holdTimeout time.Duration
	transport   http.RoundTripper
	registerer  prometheus.Registerer
	drain       drain
	unreachable unreachable
	dedup       *Dedup
	quarantine  *Quarantine
	metrics     *metrics
	// memory bounds the requests in flight; nil if nothing does.
	memory *httplimit.Budget
}

// Option configures a Server.
type Option func(*Server)

// WithLimiter sets the limiter of requests at the upstream. The default has no limit.
func WithLimiter(l Limiter) Option { return func(s *Server) { s.limiter = l } }

// WithBudget sets the retry budget. The default has no limit.
func WithBudget(b Budget) Option { return func(s *Server) { s.budget = b } }

// WithHold sets how long a request waits for its partition to get an owner. The default is DefaultHold.
func WithHold(d time.Duration) Option { return func(s *Server) { s.holdTimeout = d } }

// WithTransport sets the transport for requests to other instances.
func WithTransport(t http.RoundTripper) Option { return func(s *Server) { s.transport = t } }

// WithDedup sets the deduplication of request ids.
func WithDedup(d *Dedup) Option { return func(s *Server) { s.dedup = d } }

// WithQuarantine sets the quarantine of requests that crash upstreams.
func WithQuarantine(q *Quarantine) Option { return func(s *Server) { s.quarantine = q } }

// WithMemory sets the budget for the requests in flight. By default they have no bound.
func WithMemory(b *httplimit.Budget) Option { return func(s *Server) { s.memory = b } }

// WithRegisterer sets where the server's metrics are registered. By default they aren't.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(s *Server) { s.registerer = r }
}

// New returns a Server.
func New(ownership Ownership, directory Directory, routes Routes, up Upstream, options ...Option) *Server {
	s := &Server{
		ownership: ownership, directory: directory, routes: routes, upstream: up,
		limiter: unlimited{}, budget: unlimited{}, holdTimeout: DefaultHold,
	}
	for _, option := range options {
		option(s)
	}
	if s.transport == nil {
		s.transport = peer.NewTransport("", peer.ForwardIdleTimeout)
	}
	if s.dedup == nil {
		s.dedup = NewDedup(directory.Self())
	}
	if s.quarantine == nil {
		s.quarantine = NewQuarantine()
	}
	s.metrics = newMetrics(s.registerer, s.dedup, s.quarantine)
	return s
}

// Dedup returns the deduplication of request ids.
func (s *Server) Dedup() *Dedup { return s.dedup }

// Quarantine returns the quarantine of requests that crash upstreams.
func (s *Server) Quarantine() *Quarantine { return s.quarantine }

// Handler returns the handler for requests of callers.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(HeaderForwarded)
		s.serve(w, r)
	})
}

// PeerHandler returns the handler for requests that other instances forward; see IsForwarded.
func (s *Server) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(HeaderForwarded, "1")
		s.serve(w, r)
	})
}

// IsForwarded reports whether a request that arrived at the peer address is a caller's request that another instance forwarded,
// rather than a control call.
func IsForwarded(r *http.Request) bool { return r.Header.Get(HeaderForwarded) != "" }

// Protocols returns the protocols that callers and other instances may use: HTTP/1.1 and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewHTTPServer returns an HTTP server for Handler or for a mux with PeerHandler. It pings idle HTTP/2 connections to detect
// broken ones.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, Protocols: Protocols(), ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: serverPingAfter, PingTimeout: serverPingTimeout,
		},
	}
}

// NewCallerServer returns an HTTP server for Handler whose callers may be of any kind: it bounds what each connection makes it hold.
func NewCallerServer(handler http.Handler) *http.Server {
	server := NewHTTPServer(handler)
	server.MaxHeaderBytes, server.IdleTimeout = callerHeadBytes, callerIdleTimeout
	server.HTTP2.MaxConcurrentStreams, server.HTTP2.MaxReceiveBufferPerConnection = callerStreams, callerBufferBytes
	return server
}
