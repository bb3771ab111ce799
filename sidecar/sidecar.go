// Package sidecar runs the sidecar process of one upstream. The process takes the upstream's registration, discovers the other
// instances, serves callers and forwarded requests, and holds the keys that its upstream may serve.
//
// Keys are assigned to instances in ranges, the records of instances and the key maps are rows of package store, and package platform
// provides the adapters to the users' platform. Package instance runs a process for hashed partitions instead, with the table service
// and the object store.
package sidecar

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
	"sapphiretray/evacuation"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/httplimit"
	"sapphiretray/ingress"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/policy"
	"sapphiretray/routing"
	"sapphiretray/store"
	"sapphiretray/witness"
)

// TableName is the store's table with the records of the instances and the key maps of the services.
const TableName = "sapphiretray"

// Settings are the settings of one process.
type Settings struct {
	// Slot identifies where the process runs. It is unique among running processes and stays when the process restarts.
	Slot string
	// Name is the name of the machine that operators see.
	Name string
	// Service is the name of the service that the upstream belongs to.
	Service string
	// DataCentre and Region are where the process runs. Witnesses are in the region, in different data centres if possible.
	DataCentre string
	Region     string
	// All addresses are host:port. The process listens on CallerAddress for callers, on PeerAddress for other instances, on
	// ReadyAddress for the platform's readiness checks, and on RegistrationAddress for the upstream's heartbeats.
	CallerAddress       string
	PeerAddress         string
	ReadyAddress        string
	RegistrationAddress string
	// HeartbeatAddress is the UDP address on which heartbeats are exchanged with other instances.
	HeartbeatAddress string
	// AdminAddress serves metrics.
	AdminAddress string
	// UpstreamAddress is the address of the upstream.
	UpstreamAddress string
	// Processor is the processor time that the process has, in cores; 0 if it isn't known. Instances with more of it plan and read for the
	// others.
	Processor float64
	// DrainLimit is how long requests may still be sent to an upstream after it has announced that it leaves.
	DrainLimit time.Duration
	// ColdOverrun and ColdSlack bound the requests that a cold upstream may get within any second, over all instances: ColdOverrun times
	// its cold rate, plus ColdSlack. 0 means that the bound isn't known.
	ColdOverrun, ColdSlack float64
	// EvacuationLimit is the time within which no request may reach the upstreams of an evacuated data centre any more; 0 if it isn't
	// known.
	EvacuationLimit time.Duration
	// MemoryLimit is the memory of the process in bytes, and MaxDescriptors the number of its file descriptors; 0 if they aren't known.
	MemoryLimit    int64
	MaxDescriptors int
	// MaxHold is the longest time for which the upstream accepts a grant of keys; 0 selects the default of package grant.
	MaxHold time.Duration
	// ConfigLimit is the time within which a configuration has to be in effect on all instances; 0 selects 2 s.
	ConfigLimit time.Duration
	// StopTimeout is the time between the request to stop and the kill of the process.
	StopTimeout time.Duration
	// RetryBudget is the retry budget of the service. Its ratio and minimum apply to all instances together.
	RetryBudget policy.RetryBudgetTerms
}

// Adapters connect a process to the store, its upstream, its callers and the platform.
type Adapters struct {
	// Store holds the records of the instances, the key maps and the configuration.
	Store store.Store
	// Upstream writes the headers of requests to the upstream and reads those of its responses; Callers reads the headers of
	// callers' requests.
	Upstream gateway.Protocol
	Callers  ingress.Protocol
	// Grants returns the client that grants keys to the upstream and releases them.
	Grants func(*gateway.Gateway) grant.Upstream
	// ConfigTable and ConfigKey name the store's row with the configuration; DecodeConfig parses and checks its value.
	ConfigTable  string
	ConfigKey    string
	DecodeConfig func(content []byte) (*routing.Table, error)
	// DecodeEvacuation translates a row of ConfigTable that begins or ends the evacuation of a data centre. It returns false for other
	// rows, and an error for one that can't be used. nil means that there are none.
	DecodeEvacuation func(r store.Row) (n evacuation.Notice, ok bool, err error)
	// Registrations returns the HTTP handler of the upstream's heartbeats.
	Registrations func(r Registrar) http.Handler
	// Ready returns the HTTP handler of the platform's readiness checks.
	Ready func(ready func() bool) http.Handler
	// Network opens the TCP listeners and connections; nil selects the machine's network.
	Network Network
}

// Registrar receives the registrations of the local upstream.
type Registrar interface {
	Register(r gateway.Registration) error
	Deregister(run gateway.UpstreamRun)
}

// Sidecar is the sidecar process of one upstream. Create it with New.
type Sidecar struct {
	settings Settings
	adapters Adapters
	gateway  *gateway.Gateway
	endpoint *heartbeat.Endpoint
	// callers tracks the connections of callers.
	callers *ingress.Connections
	// memory bounds what callers make the process hold.
	memory    *httplimit.Budget
	dialer    *peer.Dialer
	directory *directory
	joined    joinTimes
	rows      *store.Follower
	config    *store.Follower
	routes    atomic.Pointer[routing.Table]
	session   atomic.Pointer[session]
	planner   plannerState
	// revocations holds the owners that the planner revokes.
	revocations revocations
	pushes      *pushes
	loads       loads
	stopping    atomic.Bool
	// stop holds the times of the planned stop once it has begun.
	stop     atomic.Pointer[stopTimes]
	activity activity
	// giveUp cancels the contexts of all requests of callers and other instances.
	giveUp   context.CancelCauseFunc
	group    *errgroup.Group
	registry *prometheus.Registry
	// rewritten counts the rows that were written again, by kind.
	rewritten *prometheus.CounterVec
	// revoked counts the records of other instances that were written to revoke them, by state.
	revoked *prometheus.CounterVec
	// clearing is the last one that was started while no session has run since. Only the session loop uses it.
	clearing *clearing
	// crashReports holds the crash reports that were received.
	crashReports crashReports
	// silentPlanners holds the planners that don't respond. Only runReports uses it.
	silentPlanners silentPlanners
	// unresponsiveSince is when a witness was found not to respond, by slot. Only the session loop uses it.
	unresponsiveSince map[string]time.Time
	// wake makes the session loop check the state of the upstream and the configuration again.
	wake chan struct{}
	// reportNow and planNow trigger a report and a plan without waiting for the next interval.
	reportNow, planNow chan struct{}
	// planFetch is true while rows are fetched for a plan.
	planFetch atomic.Bool
	// announcers receives the slot of an instance that has announced newer rows, and configAnnounced a value when an instance has
	// announced a newer configuration.
	announcers      chan string
	configAnnounced chan struct{}
	configLag       configLag
	silentBefore    silentSlots
	// announceAgain receives a value when this instance has announced a configuration.
	announceAgain chan struct{}
	// sendAnnouncement sends another instance the versions that the instance in a slot has.
	sendAnnouncement func(to member.Record, slot string, v *peer.Versions) error
	// adoptMu guards the replacement of routes. configRow is the row of the configuration in effect, nil if there is none.
	adoptMu   sync.Mutex
	configRow atomic.Pointer[store.Row]
	// decodingConfig is true while an arrived configuration isn't in effect yet.
	decodingConfig atomic.Bool
	// announcedMu guards announced.
	announcedMu sync.Mutex
	// announced holds, by slot, the last version of the rows that was newer than that of this instance.
	announced map[string]uint64
}

var errNotRunning = errors.New("the process isn't running")

// New returns a process; Run starts it.
func New(s Settings, a Adapters) *Sidecar {
	sc := &Sidecar{
		settings: s, adapters: a, wake: make(chan struct{}, 1), announcers: make(chan string, 1),
		reportNow: make(chan struct{}, 1), planNow: make(chan struct{}, 1), announced: make(map[string]uint64),
		configAnnounced: make(chan struct{}, 1), announceAgain: make(chan struct{}, 1), registry: prometheus.NewRegistry(),
		pushes: newPushes(), unresponsiveSince: make(map[string]time.Time), rewritten: newRewritten(), revoked: newRevoked(),
	}
	if sc.adapters.Network == nil {
		sc.adapters.Network = tcpNetwork{}
	}
	sc.dialer = peer.NewDialer(sc.newTransport(peer.ControlIdleTimeout, peer.CloseOnGoAway))
	sc.callers = ingress.NewConnections(sc.limits, sc.registry)
	sc.memory = httplimit.NewBudget(httplimit.MessageMemory(s.MemoryLimit))
	sc.callers.Bound(sc.memory, httplimit.CallerConnections(s.MemoryLimit, s.MaxDescriptors))
	sc.directory = newDirectory(s.Slot)
	sc.directory.evacuations = evacuation.New(s.EvacuationLimit, s.ConfigLimit)
	sc.rows = store.NewFollower(a.Store, TableName, sc.rowsChanged, store.WithWatch(sc.isReader, sc.fetchFromReader),
		store.WithMaxWait(sc.rowsWait))
	sc.config = store.NewFollower(a.Store, a.ConfigTable, sc.applyOperatorRows, store.WithMaxWait(sc.configWait))
	sc.sendAnnouncement = func(member.Record, string, *peer.Versions) error { return errNotRunning }
	return sc
}

// Run serves until ctx ends, then drains and stops. It returns the error of binding an address, or the first error of a
// server or of the heartbeat endpoint.
func (sc *Sidecar) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	sc.group = group
	sc.gateway = gateway.New(group, sc.settings.Service, sc.settings.UpstreamAddress, sc.adapters.Upstream,
		gateway.WithKeys(sc.keys), gateway.WithOnChange(sc.upstreamChanged), gateway.WithDrainLimit(sc.settings.DrainLimit),
		gateway.WithOnKeyRequest(sc.loads.observe), gateway.WithOnCrash(func(f []uint64) { sc.broadcastCrash(running, f) }),
		gateway.WithDial(sc.adapters.Network.DialContext), gateway.WithColdTerms(sc.coldTerms), gateway.WithEvacuated(sc.isClosed),
		gateway.WithMemory(sc.memory))
	sc.endpoint = heartbeat.New(sc.firstIncarnation(),
		heartbeat.WithListen(sc.settings.HeartbeatAddress), heartbeat.WithTiming(timing()), heartbeat.WithBacking(leaseBacking),
		heartbeat.WithDial(sc.dialSlot), heartbeat.WithVersions(sc.heartbeatVersions),
		heartbeat.WithOnVersions(sc.observeHeartbeat), heartbeat.WithOnChange(sc.leaseChanged))
	sc.sendAnnouncement = func(to member.Record, slot string, v *peer.Versions) error {
		return sc.endpoint.Announce(to.HeartbeatAddress, slot, v)
	}
	sc.registerMetrics()
	requests, giveUp := context.WithCancelCause(context.WithoutCancel(ctx))
	defer giveUp(nil)
	sc.giveUp = giveUp
	servers, err := sc.listen(running, requests)
	if err != nil {
		return err
	}
	klog.InfoS("process: started", "name", sc.settings.Name, "slot", sc.settings.Slot, "service", sc.settings.Service)
	for _, s := range servers {
		group.Go(func() error { return s.serve(running) })
	}
	group.Go(func() error { return sc.endpoint.Run(running) })
	sc.background(running, group, sc.rows.Run, sc.config.Run, sc.gateway.Run, sc.runSessions, sc.fetchAnnounced, sc.fetchConfig,
		sc.fetchLostConfig, sc.repeatAnnouncements, sc.probeCheckers, sc.probeUnreachable, sc.runReports, sc.runPlanner, sc.callers.Run,
		sc.watchStalls)
	group.Go(func() error {
		defer cancel()
		sc.drainOnStop(ctx, running, servers)
		return nil
	})
	err = group.Wait()
	klog.InfoS("process: stopped", "name", sc.settings.Name, "err", err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// background runs each task in the group until ctx ends.
func (sc *Sidecar) background(ctx context.Context, group *errgroup.Group, tasks ...func(context.Context)) {
	for _, task := range tasks {
		group.Go(func() error {
			task(ctx)
			return nil
		})
	}
}

// timing returns the lease timing, which is the same for all instances.
func timing() witness.Timing { return witness.NewTiming(leaseDuration, leaseInterval, leaseDrift) }

const (
	// leaseDuration bounds how long keys have no owner after an instance is lost. leaseInterval is the time between heartbeats, short
	// enough that at least two heartbeats in a row may be lost.
	leaseDuration = 1600 * time.Millisecond
	leaseInterval = 320 * time.Millisecond
	// leaseDrift is the largest relative difference in rate between two clocks.
	leaseDrift = 0.01
	// pingAfter and pingTimeout bound how long a dead connection between instances is kept. Their sum is longer than requests last,
	// because the requests on a connection end with it. Package forward detects instances that don't respond earlier.
	pingAfter   = 3 * time.Second
	pingTimeout = 5 * time.Second
	// budgetMargin is the fraction of the retry budget that is used. Retries arrive up to a second after they were counted, when
	// some first attempts have already left the window.
	budgetMargin = 0.85
	// maxBudgetRatio caps the ratio of the retry budget. With a cap of 0.17, no more requests were served while upstreams refused some.
	maxBudgetRatio = 0.1
	// maxBudgetMinimum caps the number of retries per window that an instance may send even if it has few requests.
	maxBudgetMinimum = 3
	// bodyWindow is the flow-control window of a forwarded request's body, in bytes. On a link of 10 Mbit/s it delays other requests
	// by 26 ms; a whole body of 60 KB would delay them by at least 48 ms.
	bodyWindow = 32 << 10
	// readHeaderTimeout bounds reading the headers of a request from another instance or the platform. It also applies to callers
	// until there is a configuration.
	readHeaderTimeout = 5 * time.Second
)

// Names of the servers whose requests are drained when the process stops.
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
	// begun is the number of requests that have been received.
	begun atomic.Int64
	// peers ends the connections of other instances. It is set for peersServer.
	peers *peer.Listener
}

// countRequests wraps a handler to maintain inFlight and begun.
func (s *server) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		s.begun.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// serve accepts connections until ctx ends.
func (s *server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	// The listener of callers is closed before the server is.
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// listen creates the servers and binds their addresses. The contexts of the requests of callers and other instances derive from requests.
func (sc *Sidecar) listen(ctx, requests context.Context) ([]*server, error) {
	callers := ingress.New(ingress.Config{
		Protocol: sc.adapters.Callers, Routes: sc.routes.Load, Outdated: sc.isConfigOutdated,
		ConfirmedFor: sc.config.ConfirmedFor, Directory: sc.directory, Local: sc.gateway,
		Forwarder: forward.NewClient(sc.group, sc.newTransport(peer.ForwardIdleTimeout, peer.WithPings(pingAfter, pingTimeout)), sc),
		Service:   sc.settings.Service, DataCentre: sc.settings.DataCentre, Registerer: sc.registry, Stopping: sc.stopping.Load,
		Outlasts: sc.outlasts, Memory: sc.memory,
		NewBudget: func() ingress.Budget { return policy.NewRetryBudget(sc.budgetTerms) },
	})
	plain := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	}
	peers := caller.NewHTTPServer(sc.peerHandler())
	peers.HTTP2.MaxReceiveBufferPerStream = bodyWindow
	servers := []*server{
		{name: "registrations", http: plain(sc.adapters.Registrations(sc.gateway))},
		{name: "ready", http: plain(sc.adapters.Ready(sc.ready))},
		{name: peersServer, http: peers},
		{name: callersServer, http: plain(callers)},
		{name: "metrics", http: plain(promhttp.HandlerFor(sc.registry, promhttp.HandlerOpts{}))},
	}
	addresses := []string{
		sc.settings.RegistrationAddress, sc.settings.ReadyAddress, sc.settings.PeerAddress,
		sc.settings.CallerAddress, sc.settings.AdminAddress,
	}
	for n, s := range servers {
		s.http.Handler = sc.activity.track(s.countRequests(s.http.Handler))
		if s.name == callersServer || s.name == peersServer {
			s.http.BaseContext = func(net.Listener) context.Context { return requests }
		}
		if s.name == callersServer {
			// Connections of callers are bound by the limits of the configuration instead.
			s.http.ReadHeaderTimeout = 0
			sc.callers.ServeAhead(callers, sc.stopping.Load)
			sc.callers.Attach(s.http)
		}
		listener, err := sc.adapters.Network.Listen(ctx, addresses[n])
		if err != nil {
			return nil, err
		}
		switch s.name {
		case callersServer:
			listener = sc.callers.Listen(listener)
		case peersServer:
			s.peers = peer.NewListener(listener, s.http, sc.adapters.Network.DialContext)
			listener = s.peers
		}
		s.listener = listener
	}
	return servers, nil
}

// budgetTerms returns this instance's share of the service's retry budget.
func (sc *Sidecar) budgetTerms() policy.RetryBudgetTerms {
	terms := sc.settings.RetryBudget
	terms.Ratio = min(maxBudgetRatio, budgetMargin*terms.Ratio)
	// Each instance may use its minimum regardless of its traffic, so the service's minimum is divided by their number.
	terms.Minimum = min(maxBudgetMinimum, int(budgetMargin*float64(terms.Minimum))/max(1, sc.directory.size()))
	return terms
}

// coldTerms returns the terms of the configuration in effect for cold upstreams. While there is none yet, other instances may send requests
// already, and the settings alone say what a cold upstream bears at least.
func (sc *Sidecar) coldTerms() gateway.ColdTerms {
	table := sc.routes.Load()
	if table == nil {
		return gateway.ColdTerms{Starts: policy.NewStartTerms(0, 0, sc.settings.ColdSlack)}
	}
	service, _ := table.Service(sc.settings.Service)
	terms := gateway.ColdTerms{Duration: service.ColdStart, HealthPath: service.HealthPath}
	if service.ColdRate > 0 {
		terms.Starts = policy.NewStartTerms(service.ColdRate, sc.settings.ColdOverrun, sc.settings.ColdSlack)
	}
	return terms
}

// limits returns the limits of the configuration in effect, or a default header timeout if there is none yet.
func (sc *Sidecar) limits() routing.Limits {
	if table := sc.routes.Load(); table != nil {
		return table.Limits()
	}
	return routing.Limits{HeaderTimeout: readHeaderTimeout}
}

// peerHandler serves both forwarded requests and calls of the peer protocol.
func (sc *Sidecar) peerHandler() http.Handler {
	calls := peer.NewHandler(&peerService{sidecar: sc})
	forwarded := forward.Handler(sc.gateway, sc, sc.stopping.Load)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsForwarded(r) {
			forwarded.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// ready reports whether the process can serve callers.
func (sc *Sidecar) ready() bool {
	return sc.routes.Load() != nil && !sc.stopping.Load() && sc.rows.Version() > 0
}

// upstreamChanged makes the session loop check the upstream's state again and triggers a report to the planner.
func (sc *Sidecar) upstreamChanged() {
	sc.wakeUp()
	sc.reportSoon()
}

// wakeUp makes the session loop check the state again. It doesn't block.
func (sc *Sidecar) wakeUp() {
	select {
	case sc.wake <- struct{}{}:
	default:
	}
}
