package caller

import (
	"net/http"
	"time"

	"sapphiretray/peer"

	"github.com/prometheus/client_golang/prometheus"
)

// Server serves callers and forwarded requests. Create it with New.
type Server struct {
	owner       Owner
	directory   Directory
	routes      Routes
	upstream    Upstream
	limiter     Limiter
	budget      Budget
	hold        time.Duration
	forward     http.RoundTripper
	registerer  prometheus.Registerer
	drain       drain
	unreachable unreachable
	dedup       *Dedup
	quarantine  *Quarantine
	metrics     *metrics
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLimiter bounds the requests at the upstream.
func WithLimiter(l Limiter) Option { return func(s *Server) { s.limiter = l } }

// WithBudget bounds retries.
func WithBudget(b Budget) Option { return func(s *Server) { s.budget = b } }

// WithHold sets the time for which a request waits for a partition's owner.
func WithHold(d time.Duration) Option { return func(s *Server) { s.hold = d } }

// WithTransport replaces the transport to other instances.
func WithTransport(t http.RoundTripper) Option { return func(s *Server) { s.forward = t } }

// WithDedup replaces the memory of request ids.
func WithDedup(d *Dedup) Option { return func(s *Server) { s.dedup = d } }

// WithQuarantine replaces the memory of requests that crash upstreams.
func WithQuarantine(q *Quarantine) Option { return func(s *Server) { s.quarantine = q } }

// WithRegisterer registers the server's metrics.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(s *Server) { s.registerer = r }
}

// New returns a server.
func New(owner Owner, directory Directory, routes Routes, up Upstream, options ...Option) *Server {
	s := &Server{
		owner: owner, directory: directory, routes: routes, upstream: up,
		limiter: unlimited{}, budget: unlimited{}, hold: DefaultHold,
	}
	for _, option := range options {
		option(s)
	}
	if s.forward == nil {
		s.forward = peer.NewTransport("", peer.ForwardIdle)
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

// Dedup returns the memory of request ids.
func (s *Server) Dedup() *Dedup { return s.dedup }

// Quarantine returns the memory of requests that crash upstreams.
func (s *Server) Quarantine() *Quarantine { return s.quarantine }

// Handler serves callers.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(HeaderForwarded)
		s.serve(w, r)
	})
}

// PeerHandler serves requests that other instances forward; see IsForwarded.
func (s *Server) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(HeaderForwarded, "1")
		s.serve(w, r)
	})
}

// IsForwarded reports whether a request that arrived on the peer address was forwarded by another instance, as opposed to
// a control call.
func IsForwarded(r *http.Request) bool { return r.Header.Get(HeaderForwarded) != "" }

// Protocols returns the protocols of the servers for callers and for other instances: HTTP/1.1 and HTTP/2, without TLS.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewHTTPServer returns an HTTP server for Handler or for a mux with PeerHandler. Connections are checked for liveness.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, Protocols: Protocols(), ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: serverPingAfter, PingTimeout: serverPingTimeout,
		},
	}
}
