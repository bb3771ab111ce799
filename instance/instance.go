// Package instance runs one instance: it joins the deployment, holds a lease, serves the partitions that it owns and forwards
// requests for the others.
//
// Keys are hashed to partitions, shared state is in the table service and the object store of packages table and object, and the
// settings are those of package settings. Package sidecar runs a process for ranges of keys instead, with the rows of package store
// and the adapters of package platform.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/caller"
	"sapphiretray/chart"
	"sapphiretray/code"
	"sapphiretray/heartbeat"
	"sapphiretray/httplimit"
	"sapphiretray/ingress"
	"sapphiretray/object"
	"sapphiretray/peer"
	"sapphiretray/policy"
	"sapphiretray/routing"
	"sapphiretray/settings"
	"sapphiretray/table"
	"sapphiretray/timeline"
	"sapphiretray/upstream"
	"sapphiretray/wait"
)

const (
	// readHeaderTimeout bounds reading the headers of an admin request.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds each step of a planned stop that follows the drain, see closeTimeout.
	shutdownTimeout = time.Second
	// acceptShare is the part of closeTimeout, as a divisor, that accepting the last connections of callers may take in addition.
	acceptShare = 4
	// retryDelay is the pause after a failed join and between two checks of the lease. It is also the pause before a rejoin after an
	// incarnation that lasted longer than maxRejoinDelay; after each shorter one, that pause doubles, up to maxRejoinDelay.
	retryDelay     = 200 * time.Millisecond
	maxRejoinDelay = 30 * time.Second
)

// Instance is one instance, which serves one upstream. Create it with New.
type Instance struct {
	settings settings.Settings
	table    *table.Client
	objects  *object.Client
	clock    *timeline.Clock
	log      *timeline.Log
	// state is the state machine of the process, across incarnations.
	state *chart.Machine
	// sheetState is the state machine of the operators' sheet and pauses.
	sheetState *chart.Machine
	rowCache   rowCache
	// applyMu makes rows take effect in the order in which rowCache gets them.
	applyMu   sync.Mutex
	directory *directory
	routes    routes
	dialer    *peer.Dialer
	// transport carries forwarded requests; control calls have connections of their own.
	transport *http.Transport
	// controlTraffic counts the bytes of the control calls that this instance makes.
	controlTraffic peer.Traffic
	upstream       *upstream.Client
	health         health
	limiter        *policy.Limiter
	budget         *policy.RetryBudget
	registry       *prometheus.Registry
	// session is the session of the current incarnation; nil before the first one has joined.
	session   atomic.Pointer[session]
	ready     chan struct{}
	readyOnce sync.Once
	// fetchRequests receives the slot of an instance to fetch missing rows from, which has announced them. refreshRequests does so because
	// of a request, of which there may be many.
	fetchRequests, refreshRequests chan string
	// pollNow makes pollTable read the table at once, after this instance has written to it.
	pollNow chan struct{}
	// mapsChanged makes runMaps put pendingMaps into effect.
	mapsChanged chan struct{}
	pendingMaps pendingMaps
	// background counts the goroutines that call other instances or the upstream and outlive the function that started them.
	background sync.WaitGroup
	// lifetime ends when the servers and control loops have ended.
	lifetime    context.Context
	endLifetime context.CancelFunc
	started     time.Time
	suspects    suspectedIncarnations
	statusCache statusCache
	sheetCache  sheetCache
	// quarantine is kept across incarnations: a request that crashed the upstream would crash it again.
	quarantine *caller.Quarantine
	// memory bounds what callers make the process hold.
	memory *httplimit.Budget
}

// New returns an instance that Run starts.
func New(s settings.Settings) *Instance {
	clock := &timeline.Clock{}
	log := timeline.NewLog(s.Slot(), clock)
	local := s.ListenPeers().Addr().String()
	control := peer.NewTransport(local, peer.ControlIdleTimeout, peer.CloseOnGoAway)
	i := &Instance{
		settings:  s,
		table:     table.New(s.TableURL()),
		objects:   object.New(s.ObjectURL()),
		clock:     clock,
		log:       log,
		state:     chart.New(chart.MustLoad("instance"), s.Slot(), log),
		directory: newDirectory(),

		sheetState:    chart.New(chart.MustLoad("sheet"), s.Slot(), log),
		dialer:        peer.NewDialer(control, peer.WithMaxResponse(table.MaxResponseBytes)),
		transport:     peer.NewTransport(local, peer.ForwardIdleTimeout, peer.CloseOnGoAway),
		upstream:      upstream.New(s.UpstreamURL().Host),
		limiter:       policy.NewLimiter(s.UpstreamSlots()),
		budget:        &policy.RetryBudget{},
		registry:      prometheus.NewRegistry(),
		ready:         make(chan struct{}),
		fetchRequests: make(chan string, 1), refreshRequests: make(chan string, 1),
		pollNow:     make(chan struct{}, 1),
		mapsChanged: make(chan struct{}, 1),
		started:     time.Now(),
	}
	i.lifetime, i.endLifetime = context.WithCancel(context.Background())
	i.routes.rows = &i.rowCache
	i.controlTraffic.Count(control)
	i.sheetCache.objects, i.sheetCache.log = i.objects, log
	i.health.machine = chart.New(chart.MustLoad("upstream"), s.Slot(), log)
	i.quarantine = caller.NewQuarantine(caller.WithOnQuarantineChange(i.broadcastQuarantine))
	i.memory = httplimit.NewBudget(httplimit.MessageMemory(s.MemoryLimit()))
	i.registerMetrics()
	i.memory.Register(i.registry)
	return i
}

// Ready is closed when the instance's first lease is valid.
func (i *Instance) Ready() <-chan struct{} { return i.ready }

// Run serves until ctx ends and then stops gracefully within the stop timeout. The error carries code.BadSettings if an
// address can't be bound.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen(ctx)
	if err != nil {
		return err
	}
	// Servers and control loops keep running while the instance drains.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	i.serve(running, group, listeners)
	group.Go(func() error { i.upstream.Watch(running, i.observeUpstream); return nil })
	group.Go(func() error { i.pollTable(running); return nil })
	group.Go(func() error { i.runFetches(running); return nil })
	group.Go(func() error { i.runMaps(running); return nil })
	group.Go(func() error { i.flushEvents(running); return nil })
	group.Go(func() error {
		defer cancel()
		return i.runSessions(ctx, running)
	})
	err = group.Wait()
	i.endLifetime()
	i.background.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

type listeners struct {
	callers, peers, admin net.Listener
}

// listen binds all TCP addresses. Each session binds the UDP address for heartbeats.
func (i *Instance) listen(ctx context.Context) (l listeners, err error) {
	var config net.ListenConfig
	bind := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		listener, err = config.Listen(ctx, "tcp", address)
		return listener
	}
	l.callers = bind(i.settings.ListenCallers().String())
	l.peers = bind(i.settings.ListenPeers().String())
	l.admin = bind(i.settings.ListenAdmin().String())
	if err != nil {
		return l, code.Wrap(code.BadSettings, err, "listen")
	}
	return l, nil
}

func (i *Instance) serve(ctx context.Context, group *errgroup.Group, l listeners) {
	callers := caller.NewCallerServer(http.HandlerFunc(i.serveCaller))
	connections := ingress.NewConnections(func() routing.Limits { return routing.Limits{} }, i.registry)
	connections.Bound(i.memory, httplimit.CallerConnections(i.settings.MemoryLimit(), i.settings.MaxDescriptors()))
	connections.Attach(callers)
	tracked := connections.Listen(l.callers)
	i.serveHTTP(ctx, group, tracked, callers, func() { i.drainCallers(tracked, connections) })
	peers := caller.NewHTTPServer(i.peerHandler())
	listener := peer.NewListener(l.peers, peers, nil)
	i.serveHTTP(ctx, group, listener, peers, func() { i.drainPeers(listener) })
	none := func() {}
	i.serveHTTP(ctx, group, l.admin, &http.Server{Handler: i.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}, none)
}

// serveHTTP starts a server. When ctx ends, it calls drain and then closes the server gracefully.
func (i *Instance) serveHTTP(ctx context.Context, group *errgroup.Group, l net.Listener, server *http.Server, drain func()) {
	group.Go(func() error {
		// The listener of callers is closed before the server is.
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		drain()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.closeTimeout())
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			return server.Close()
		}
		return nil
	})
}

// drainCallers refuses new connections of callers and waits, for at most closeTimeout, until the requests that have arrived on open
// HTTP/1 connections have been answered, which Shutdown doesn't.
func (i *Instance) drainCallers(l net.Listener, connections *ingress.Connections) {
	accepting, cancelAccepting := context.WithTimeout(context.Background(), i.closeTimeout()/acceptShare)
	defer cancelAccepting()
	if err := connections.CloseListener(accepting, l, nil); err != nil {
		klog.Warningf("instance: the listener of callers can't be closed in order: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), i.closeTimeout())
	defer cancel()
	if left := connections.Drain(ctx); left > 0 {
		left = connections.Finish(ctx)
		klog.Warningf("instance: %d connections of callers are still in use after %v", left, i.closeTimeout())
	}
}

// drainPeers waits, for at most closeTimeout, until the other instances have closed their connections.
func (i *Instance) drainPeers(l *peer.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), i.closeTimeout())
	defer cancel()
	if left := l.Shutdown(ctx); left > 0 {
		klog.Warningf("instance: %d connections of other instances are still open after %v", left, i.closeTimeout())
	}
}

// serveCaller passes a caller's request to the current session.
func (i *Instance) serveCaller(w http.ResponseWriter, r *http.Request) {
	if s := i.session.Load(); s != nil {
		s.server.Handler().ServeHTTP(w, r)
		return
	}
	i.refuse(w, r, code.NoOwner)
}

// peerHandler serves the calls and the forwarded requests of other instances.
func (i *Instance) peerHandler() http.Handler {
	calls := peer.NewHandler(&peerService{instance: i})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := i.session.Load()
		switch {
		case !caller.IsForwarded(r):
			calls.ServeHTTP(w, r)
		case s == nil:
			i.refuse(w, r, code.NoOwner)
		default:
			s.server.PeerHandler().ServeHTTP(w, r)
		}
	})
}

// refuse responds to a request that arrives before the instance has joined. The request did not run.
func (i *Instance) refuse(w http.ResponseWriter, r *http.Request, c code.Code) {
	caller.BoundBody(w, r)
	e := c.Entry()
	w.Header().Set(caller.HeaderRan, string(e.Ran()))
	w.Header().Set(caller.HeaderCode, strconv.Itoa(int(c)))
	http.Error(w, e.Text(), e.Status())
}

// runSessions joins as a new incarnation whenever the previous one has ended. The end of the stop context begins a planned
// stop; runSessions returns once that has finished.
func (i *Instance) runSessions(stop, running context.Context) error {
	if err := i.awaitOldLeaseExpiry(running); err != nil {
		return err
	}
	delay := retryDelay
	for {
		began := time.Now()
		s := i.join(stop, running)
		if s == nil {
			return nil
		}
		left, err := s.run(stop, running)
		if err != nil || left {
			return err
		}
		// Back off: each incarnation costs the table three writes, and they may end quickly because the table is overloaded.
		if delay = min(2*delay, maxRejoinDelay); time.Since(began) > maxRejoinDelay {
			delay = retryDelay
		}
		klog.Infof("instance: incarnation %s has ended; joining again in %v", s.self, delay)
		wait.For(stop, delay)
	}
}

// awaitOldLeaseExpiry waits until no acknowledgement to an earlier process on the same addresses can keep a lease valid, so
// that the record of the new incarnation proves that the leases of the older ones have expired.
func (i *Instance) awaitOldLeaseExpiry(ctx context.Context) error {
	longestLease := time.Duration(float64(i.settings.LeaseDuration()) * (1 + i.settings.ClockDrift()))
	if !wait.For(ctx, longestLease-time.Since(i.started)) {
		return ctx.Err()
	}
	return nil
}

// witnessAddresses returns the heartbeat addresses of witnesses. A slot without a known record gets this instance's own address.
func (i *Instance) witnessAddresses(slots []string) []heartbeat.WitnessAddress {
	addresses := make([]heartbeat.WitnessAddress, 0, len(slots))
	for _, slot := range slots {
		address := i.settings.HeartbeatAddress().String()
		if record, ok := i.directory.slot(slot); ok && slot != i.settings.Slot() {
			address = record.HeartbeatAddress
		}
		addresses = append(addresses, heartbeat.NewWitnessAddress(slot, address))
	}
	return addresses
}
