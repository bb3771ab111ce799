package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/routing"
	"sapphiretray/store"
	"sapphiretray/wait"
)

// configStore is a store with one configuration, whose calls for changes may go unanswered.
type configStore struct {
	store.Store
	mu      sync.Mutex
	version uint64
	// evacuated is the version of the row that evacuates dc-1, 0 if there is none.
	evacuated uint64
	// changed is closed and replaced at each change, and forgotten when the open calls for changes are never answered. While feedSilent is
	// set, none is.
	changed, forgotten chan struct{}
	feedSilent         bool
	// down makes all calls fail, and feedDown those for changes. While silent is set, calls that arrive are never answered.
	down, feedDown, silent bool
	// latency is the time from a call to its arrival.
	latency time.Duration
	calls   int
}

// clientMargin is the time after which the client of the store gives up a call whose response is due.
const clientMargin = 1500 * time.Millisecond

// fastStore is the usual latency of the store.
const fastStore = 4 * time.Millisecond

func newConfigStore() *configStore {
	return &configStore{version: 1, changed: make(chan struct{}), forgotten: make(chan struct{}), latency: fastStore}
}

// set changes the store.
func (s *configStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// put writes a configuration and returns its version.
func (s *configStore) put() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write()
}

// write begins the next version. s.mu must be held.
func (s *configStore) write() uint64 {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// evacuate writes the row that evacuates dc-1. Calls that end at the change return it.
func (s *configStore) evacuate() { s.set(func() { s.evacuated = s.write() }) }

// forget makes the store not answer the calls for changes that are open.
func (s *configStore) forget() {
	s.set(func() {
		close(s.forgotten)
		s.forgotten = make(chan struct{})
	})
}

// silenceFeed makes the store answer no call for changes.
func (s *configStore) silenceFeed() { s.set(func() { s.feedSilent = true }) }

// refuseFeed makes the store refuse calls for changes.
func (s *configStore) refuseFeed() {
	s.set(func() {
		s.feedDown = true
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// beSilent makes the store answer no call for a time, those included that are open at its end.
func (s *configStore) beSilent(d time.Duration) {
	s.set(func() { s.silent = true })
	s.forget()
	time.Sleep(d)
	s.set(func() { s.silent = false })
	s.forget()
}

// beSlow delays all calls that arrive within a time.
func (s *configStore) beSlow(latency, d time.Duration) {
	s.set(func() { s.latency = latency })
	time.Sleep(d)
	s.set(func() { s.latency = fastStore })
}

// forgetAfterSlow is like forget, but the calls that are open follow slow responses.
func forgetAfterSlow(s *configStore) {
	const latency = 1400 * time.Millisecond
	s.beSlow(latency, 30*time.Second)
	// The slow calls have arrived by then.
	time.Sleep(latency)
	s.forget()
}

// beginResponse reports the first byte of a response.
func beginResponse(ctx context.Context) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
}

// rows returns the row if it is newer than a version. s.mu must be held.
func (s *configStore) rows(after uint64) []store.Row {
	if s.version <= after {
		return nil
	}
	rows := []store.Row{{Table: "op", Key: "config", Value: []byte(strconv.FormatUint(s.version, 10)), Version: s.version}}
	if s.evacuated > after {
		rows = append(rows, store.Row{Table: "op", Key: "evacuate/dc-1", Version: s.evacuated})
	}
	return rows
}

// arrive counts a call and waits for its end if it is never answered.
func (s *configStore) arrive(limit context.Context) error {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	if !wait.For(limit, latency) {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, limit.Err())
	}
	s.mu.Lock()
	s.calls++
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return nil
	}
	<-limit.Done()
	return fmt.Errorf("%w: %w", store.ErrUnavailable, limit.Err())
}

// List implements store.Store.
func (s *configStore) List(ctx context.Context, _ string) ([]store.Row, uint64, error) {
	limit, cancel := context.WithTimeout(ctx, clientMargin)
	defer cancel()
	if err := s.arrive(limit); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	beginResponse(ctx)
	return s.rows(0), s.version, nil
}

// Changes implements store.Store.
func (s *configStore) Changes(ctx context.Context, _ string, after uint64, poll time.Duration) ([]store.Row, uint64, error) {
	limit, cancel := context.WithTimeout(ctx, poll+clientMargin)
	defer cancel()
	if err := s.arrive(limit); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	forgotten := s.forgotten
	s.mu.Unlock()
	for end := time.After(poll); ; {
		s.mu.Lock()
		rows, version, changed, silent, down := s.rows(after), s.version, s.changed, s.feedSilent, s.down || s.feedDown
		s.mu.Unlock()
		if down {
			return nil, 0, store.ErrUnavailable
		}
		if silent {
			<-limit.Done()
			return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, limit.Err())
		}
		if len(rows) > 0 {
			beginResponse(ctx)
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-end:
			beginResponse(ctx)
			return nil, version, nil
		case <-forgotten:
			<-limit.Done()
			return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, limit.Err())
		case <-limit.Done():
			return nil, 0, limit.Err()
		}
	}
}

// configFleet is a deployment of instances that follow the configuration of one store and announce it to each other. Instances of keyed
// services send heartbeats; every fourth instance is of another service and takes no part in them.
type configFleet struct {
	store     *configStore
	instances []*Sidecar
	stops     []context.CancelFunc
	// failed holds the instances that have failed.
	failed sync.Map
	// isolated makes calls between the instances remain unanswered.
	isolated atomic.Bool
	// lossMu guards loss, which tells for each datagram whether it is lost; nil if none is.
	lossMu sync.Mutex
	loss   func() bool
	// announcements is the number of announcements sent.
	announcements atomic.Int64
	group         sync.WaitGroup
}

// fail ends instances. The others don't notice.
func (f *configFleet) fail(slots []string) {
	for n, sc := range f.instances {
		if slices.Contains(slots, sc.settings.Slot) {
			f.failed.Store(sc, true)
			f.stops[n]()
		}
	}
}

// leave makes instances drain and end, as those of servers that are replaced. Their records stay in the store.
func (f *configFleet) leave(t *testing.T, slots []string) {
	t.Helper()
	for n, left := range f.instances {
		if !slices.Contains(slots, left.settings.Slot) {
			continue
		}
		row := drainingRow(linkedRecordRow(t, n, 1, uint64(len(f.instances)+n+1)))
		for _, sc := range f.instances {
			sc.rowsChanged([]store.Row{row}, store.Delivery{})
		}
	}
	f.fail(slots)
}

// drainingRow returns the row of a record of an instance that is ready with its state changed.
func drainingRow(row store.Row) store.Row { return rowInState(row, member.Draining) }

// rowInState returns the row of a record of an instance that is ready with another state.
func rowInState(row store.Row, state member.State) store.Row {
	row.Value = []byte(strings.Replace(string(row.Value), string(member.Ready), string(state), 1))
	return row
}

// hasFailed reports whether an instance has failed.
func (f *configFleet) hasFailed(sc *Sidecar) bool {
	_, failed := f.failed.Load(sc)
	return failed
}

// lose makes a share of the datagrams be lost from now on.
func (f *configFleet) lose(share float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	f.lossMu.Lock()
	defer f.lossMu.Unlock()
	f.loss = func() bool { return random.Float64() < share }
}

// isLost reports whether the next datagram is lost.
func (f *configFleet) isLost() bool {
	f.lossMu.Lock()
	defer f.lossMu.Unlock()
	return f.loss != nil && f.loss()
}

// deliver passes versions to an instance, unless it or the sender has failed or the datagram is lost.
func (f *configFleet) deliver(from, to *Sidecar, slot string, v *peer.Versions) {
	if !f.hasFailed(from) && !f.hasFailed(to) && !f.isLost() {
		to.observeHeartbeat(slot, v)
	}
}

// fleetPeers passes calls to the instances of a deployment. They respond to probes unless they have failed. Nobody answers a fetch: such
// calls are silent too.
type fleetPeers struct{ fleet *configFleet }

// RoundTrip implements http.RoundTripper.
func (p fleetPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, sc := range p.fleet.instances {
		if r.Method == http.MethodGet && r.URL.Hostname() == sc.settings.Slot && !p.fleet.hasFailed(sc) && !p.fleet.isolated.Load() {
			return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody}, nil
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// witnesses returns the instances that get the heartbeats of an instance.
func (f *configFleet) witnesses(n int) []*Sidecar {
	var keyed []*Sidecar
	for other, sc := range f.instances {
		if other != n && other%4 != 3 {
			keyed = append(keyed, sc)
		}
	}
	if n%4 == 3 || len(keyed) < witnessCount {
		return nil
	}
	first := 5 * n % len(keyed)
	return append(keyed, keyed...)[first : first+witnessCount]
}

// latestAfterSilence puts a configuration, which ends all calls for changes at once, makes the store forget those that follow, and returns
// how long the next configuration takes to be in effect on all instances.
func (f *configFleet) latestAfterSilence() time.Duration {
	f.latest(time.Now(), f.store.put())
	time.Sleep(time.Second)
	f.store.forget()
	written := time.Now()
	return f.latest(written, f.store.put())
}

// runConfigFleet runs a deployment while test runs, after all instances have the first configuration.
func runConfigFleet(t *testing.T, instances int, test func(f *configFleet)) {
	t.Helper()
	runConfigFleetWithin(t, instances, 0, test)
}

// runConfigFleetWithin is like runConfigFleet with instances whose settings have a limit of the configuration.
func runConfigFleetWithin(t *testing.T, instances int, limit time.Duration, test func(f *configFleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := &configFleet{store: newConfigStore()}
		for n := range instances {
			sc := New(Settings{
				Slot: fmt.Sprint("10.0.0.", n), Service: "books", DataCentre: fmt.Sprint("dc-", n%3), ConfigLimit: limit,
				EvacuationLimit: fleetEvacuationLimit,
			}, Adapters{
				Store: f.store, ConfigTable: "op", ConfigKey: "config",
				DecodeConfig: func(content []byte) (*routing.Table, error) {
					version, err := strconv.ParseUint(string(content), 10, 64)
					if err != nil {
						return nil, err
					}
					return routing.New(version, routing.Limits{}, nil, nil)
				},
				DecodeEvacuation: decodeTestEvacuation,
			})
			sc.dialer, sc.group = peer.NewDialer(fleetPeers{f}), &errgroup.Group{}
			sc.sendAnnouncement = func(to member.Record, slot string, v *peer.Versions) error {
				f.announcements.Add(1)
				number, err := strconv.Atoi(strings.TrimPrefix(to.Incarnation.Slot(), "10.0.0."))
				f.group.Go(func() {
					time.Sleep(2 * time.Millisecond)
					f.deliver(sc, f.instances[number], slot, v)
				})
				return err
			}
			for other := range instances {
				sc.directory.apply([]store.Row{linkedRecordRow(t, other, 1, uint64(other+1))})
			}
			f.instances = append(f.instances, sc)
		}
		for n, sc := range f.instances {
			ctx, stop := context.WithCancel(t.Context())
			f.stops = append(f.stops, stop)
			witnesses := f.witnesses(n)
			heartbeats := func(ctx context.Context) {
				time.Sleep(time.Duration(n) * 37 * time.Millisecond % leaseInterval)
				for ; ctx.Err() == nil; time.Sleep(leaseInterval) {
					for _, w := range witnesses {
						f.deliver(sc, w, sc.settings.Slot, sc.heartbeatVersions())
					}
				}
			}
			for _, task := range []func(context.Context){
				sc.config.Run, sc.fetchConfig, sc.repeatAnnouncements, sc.probeCheckers, heartbeats,
			} {
				f.group.Go(func() { task(ctx) })
			}
		}
		time.Sleep(3 * time.Second)
		test(f)
		for _, stop := range f.stops {
			stop()
		}
		f.group.Wait()
		for _, sc := range f.instances {
			_ = sc.group.Wait()
		}
	})
}

// latest returns how long after a time the last running instance has a configuration in effect, a minute if some never has.
func (f *configFleet) latest(since time.Time, version uint64) time.Duration {
	for ; time.Since(since) < time.Minute; time.Sleep(10 * time.Millisecond) {
		late := 0
		for _, sc := range f.instances {
			if table := sc.routes.Load(); !f.hasFailed(sc) && (table == nil || table.Version() < version) {
				late++
			}
		}
		if late == 0 {
			break
		}
	}
	return time.Since(since)
}
