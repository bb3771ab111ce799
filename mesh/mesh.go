// Package mesh is one process beside one upstream: it registers the upstream, knows the other instances, serves callers and
// forwarded requests, and keeps the keys that its upstream may serve.
package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/caller"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/ingress"
	"sapphiretray/peer"
	"sapphiretray/policy"
	"sapphiretray/routing"
	"sapphiretray/store"
	"sapphiretray/witness"
)

// Table is the store's table with the instances' records and the maps of keys.
const Table = "sapphiretray"

// Settings are the settings of one process.
type Settings struct {
	// Slot names the place that the process runs in; no two processes have the same at a time.
	Slot string
	// Name is what people call the machine.
	Name       string
	Service    string
	DataCentre string
	Region     string
	// CallerAddress, PeerAddress, ReadyAddress and RegistrationAddress are listened on for callers, for other instances, for the
	// platform's question whether the process can serve, and for the upstream's heartbeats.
	CallerAddress       string
	PeerAddress         string
	ReadyAddress        string
	RegistrationAddress string
	// HeartbeatAddress is the UDP address for the heartbeats of other instances.
	HeartbeatAddress string
	// AdminAddress is listened on for metrics.
	AdminAddress    string
	UpstreamAddress string
	// DrainLimit is how long requests may be sent to an upstream that has said that it leaves.
	DrainLimit time.Duration
	// MaxHold is the longest time for which the upstream accepts keys; 0 leaves it to package grant.
	MaxHold time.Duration
	// StopTimeout is the time within which the process has to end once it was told to.
	StopTimeout time.Duration
	// Retries bounds the repeated requests at a service: its ratio and its minimum hold for all instances together.
	Retries policy.BudgetTerms
}

// Adapters connect a process to the systems around it.
type Adapters struct {
	Store    store.Store
	Upstream gateway.Protocol
	Callers  ingress.Protocol
	// Grants returns the way in which keys are granted to the upstream.
	Grants func(*gateway.Gateway) grant.Upstream
	// ConfigTable and ConfigKey name the row with the configuration, and DecodeConfig reads it.
	ConfigTable  string
	ConfigKey    string
	DecodeConfig func(content []byte) (*routing.Table, error)
	// Registrations returns the handler of the upstream's heartbeats.
	Registrations func(r Registrar) http.Handler
	// Ready returns the handler of the question whether the process can serve.
	Ready func(ready func() bool) http.Handler
}

// Registrar takes what an upstream says of itself.
type Registrar interface {
	Register(r gateway.Registration) error
	Deregister(id string)
}

// Mesh is one process. Create it with New.
type Mesh struct {
	settings Settings
	adapters Adapters
	gateway  *gateway.Gateway
	endpoint *heartbeat.Endpoint
	// callers holds the connections of callers.
	callers   *ingress.Connections
	dialer    *peer.Dialer
	directory *directory
	rows      *store.Follower
	config    *store.Follower
	routes    atomic.Pointer[routing.Table]
	session   atomic.Pointer[session]
	planner   planner
	loads     loads
	stopping  atomic.Bool
	group     *errgroup.Group
	registry  *prometheus.Registry
	// silent is when witnesses were found not to answer, by slot. Only the session loop uses it.
	silentSince map[string]time.Time
	// wake asks the session loop to look at the state again.
	wake chan struct{}
	// reporting and planning ask for a report and a plan at once.
	reportNow, planNow chan struct{}
	// news holds the slots of instances that have newer rows.
	announcers chan string
	// heard holds the newest versions that each instance has announced, if they were news.
	announcedMu sync.Mutex
	announced   map[string]forward.Versions
	// configBehindSince is since when another instance has had a newer configuration; it is zero while none is known to.
	configBehindSince time.Time
}

// New returns a process that Run starts.
func New(s Settings, a Adapters) *Mesh {
	m := &Mesh{
		settings: s, adapters: a, wake: make(chan struct{}, 1), announcers: make(chan string, 1),
		reportNow: make(chan struct{}, 1), planNow: make(chan struct{}, 1), announced: make(map[string]forward.Versions),
		registry: prometheus.NewRegistry(), silentSince: make(map[string]time.Time),
		dialer: peer.NewDialer(peer.NewTransport("", peer.ControlIdle)),
	}
	m.callers = ingress.NewConnections(m.limits)
	m.directory = newDirectory(s.Slot)
	m.rows = store.NewFollower(a.Store, Table, m.applyRows, store.WithEager(m.isReader, m.fetchFromReader))
	m.config = store.NewFollower(a.Store, a.ConfigTable, m.applyConfig)
	return m
}

// Run serves until ctx ends; it then stops gracefully.
func (m *Mesh) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	m.group = group
	m.gateway = gateway.New(group, m.settings.Service, m.settings.UpstreamAddress, m.adapters.Upstream,
		gateway.WithKeys(m.keys), gateway.WithOnChange(m.upstreamChanged), gateway.WithDrainLimit(m.settings.DrainLimit),
		gateway.WithDemand(m.loads.observe), gateway.WithOnCrash(m.broadcastCrash))
	m.endpoint = heartbeat.New(m.firstIncarnation(),
		heartbeat.WithListen(m.settings.HeartbeatAddress), heartbeat.WithTiming(timing()), heartbeat.WithDial(m.dialSlot),
		heartbeat.WithVersions(m.heartbeatVersions), heartbeat.WithNews(m.observeHeartbeat), heartbeat.WithOnChange(m.leaseChanged))
	m.registerMetrics()
	servers, err := m.listen(running)
	if err != nil {
		return err
	}
	klog.InfoS("process: started", "name", m.settings.Name, "slot", m.settings.Slot, "service", m.settings.Service)
	for _, s := range servers {
		group.Go(func() error { return s.serve(running) })
	}
	group.Go(func() error { return m.endpoint.Run(running) })
	m.background(running, group, m.rows.Run, m.config.Run, m.gateway.Run, m.runSessions, m.fetchAnnounced, m.probeUnreachable,
		m.report, m.plan, m.callers.Run, m.watchStalls)
	group.Go(func() error {
		defer cancel()
		m.drainOnStop(ctx, running, servers)
		return nil
	})
	err = group.Wait()
	klog.InfoS("process: stopped", "name", m.settings.Name, "err", err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (m *Mesh) background(ctx context.Context, group *errgroup.Group, tasks ...func(context.Context)) {
	for _, task := range tasks {
		group.Go(func() error {
			task(ctx)
			return nil
		})
	}
}

// timing returns the timing of leases, which all instances share.
func timing() witness.Timing { return witness.NewTiming(leaseDuration, leaseInterval, leaseDrift) }

const (
	// leaseDuration bounds how long keys have no owner after a loss; leaseInterval leaves two heartbeats that may be lost.
	leaseDuration = 1600 * time.Millisecond
	leaseInterval = 320 * time.Millisecond
	// leaseDrift bounds the relative difference in rate of two clocks.
	leaseDrift = 0.01
	// pingAfter and pingTimeout find connections between instances that have gone silent. Pings are a large part of the bytes
	// between data centres if they are sent more often.
	pingAfter   = 700 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// budgetMargin is the share of the retry budget that is used: repeats arrive up to a second after they were counted, when some
	// first attempts have left the window.
	budgetMargin = 0.85
	// maxBudgetRatio is the most that is used of a larger budget: with 0.17 instead, days with refusing upstreams served no more.
	maxBudgetRatio = 0.1
	// maxBudgetMinimum is the number of retries that an instance with few requests may send in a window.
	maxBudgetMinimum = 3
	// bodyWindow is how much of a forwarded body may be on its way, in bytes. At 10 Mbit/s it delays other requests on the same link by
	// 26 ms; a whole body of 60 KB would delay them by 48 ms and more.
	bodyWindow = 32 << 10
	// readHeaderTimeout bounds the reading of a request's headers from another instance or the platform.
	readHeaderTimeout = 5 * time.Second
)

// Names of servers whose requests a stop waits for.
const (
	peersServer   = "peers"
	callersServer = "callers"
)

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	// inFlight is the number of requests that are being served.
	inFlight atomic.Int64
	// taken is the number of requests that have begun.
	begun atomic.Int64
}

// counted makes a handler count the requests in flight.
func (s *server) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		s.begun.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen binds all addresses.
func (m *Mesh) listen(ctx context.Context) ([]*server, error) {
	callers := ingress.New(ingress.Config{
		Protocol: m.adapters.Callers, Routes: m.routes.Load, Directory: m.directory, Local: m.gateway,
		Forwarder: forward.NewClient(peer.NewTransport("", peer.ForwardIdle, peer.WithPings(pingAfter, pingTimeout)), m),
		Service:   m.settings.Service, DataCentre: m.settings.DataCentre, Registerer: m.registry, Stopping: m.stopping.Load,
		NewBudget: func() ingress.Budget { return policy.NewBudget(m.budgetTerms) },
	})
	plain := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	}
	peers := caller.NewHTTPServer(m.peerHandler())
	peers.HTTP2.MaxReceiveBufferPerStream = bodyWindow
	servers := []*server{
		{name: "registrations", http: plain(m.adapters.Registrations(m.gateway))},
		{name: "ready", http: plain(m.adapters.Ready(m.ready))},
		{name: peersServer, http: peers},
		{name: callersServer, http: plain(callers)},
		{name: "metrics", http: plain(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))},
	}
	addresses := []string{
		m.settings.RegistrationAddress, m.settings.ReadyAddress, m.settings.PeerAddress, m.settings.CallerAddress, m.settings.AdminAddress,
	}
	var config net.ListenConfig
	for n, s := range servers {
		s.http.Handler = s.countRequests(s.http.Handler)
		if s.name == callersServer {
			// The limits of the configuration count instead.
			s.http.ReadHeaderTimeout = 0
			m.callers.Attach(s.http)
		}
		listener, err := config.Listen(ctx, "tcp", addresses[n])
		if err != nil {
			return nil, err
		}
		s.listener = listener
	}
	return servers, nil
}

// budgetTerms returns this instance's part of the retry budget that all instances share.
func (m *Mesh) budgetTerms() policy.BudgetTerms {
	terms := m.settings.Retries
	terms.Ratio = min(maxBudgetRatio, budgetMargin*terms.Ratio)
	// A minimum counts at each instance, however few requests it gets.
	terms.Minimum = min(maxBudgetMinimum, int(budgetMargin*float64(terms.Minimum))/max(1, m.directory.size()))
	return terms
}

// limits returns the limits of the configuration in force.
func (m *Mesh) limits() routing.Limits {
	if table := m.routes.Load(); table != nil {
		return table.Limits()
	}
	return routing.Limits{HeaderTimeout: readHeaderTimeout}
}

func (m *Mesh) peerHandler() http.Handler {
	calls := peer.NewPeerServer(&peerService{mesh: m})
	forwarded := forward.Handler(m.gateway, m, m.stopping.Load)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsForwarded(r) {
			forwarded.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// ready reports whether the process can serve callers.
func (m *Mesh) ready() bool {
	return m.routes.Load() != nil && !m.stopping.Load() && m.rows.Version() > 0
}

// upstreamChanged tells the session and the planner of a change of the upstream's state.
func (m *Mesh) upstreamChanged() {
	m.wakeUp()
	m.reportSoon()
}

// wakeUp makes the session loop look at the upstream's state.
func (m *Mesh) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
