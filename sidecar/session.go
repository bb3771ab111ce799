package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/store"
	"sapphiretray/wait"
)

const (
	// witnessCount is the number of witnesses of a lease. The lease survives the loss of one of three.
	witnessCount = 3
	// othersTimeout bounds the wait for enough other instances to choose witnesses from, before joining.
	othersTimeout = 2 * time.Second
	// retryWait is the pause after a failed step and between two checks of the session's state.
	retryWait = 150 * time.Millisecond
	// identifyTimeout bounds the request for the upstream's id.
	identifyTimeout = 300 * time.Millisecond
	// rejoinAfter is how long an instance tries to re-acquire an expired lease before it joins as a new incarnation.
	rejoinAfter = 1200 * time.Millisecond
	// commitTimeout bounds a write to the store.
	commitTimeout = 3 * time.Second
	// restoreInterval is the shortest time between two writes of a record that another writer replaces again and again.
	restoreInterval = time.Second
)

// session is the lifetime of one incarnation of the instance: one run of the upstream under one lease.
type session struct {
	sidecar *Sidecar
	// record is the incarnation's record in the store, and version the version of its row.
	record      member.Record
	version     uint64
	upstreamRun trackedRun
	// grantManager claims the keys and grants them to the upstream; nil if the service isn't keyed.
	grantManager *grant.Manager
	// upstream is what the grant manager grants keys to; nil if the service isn't keyed.
	upstream *sessionUpstream
	// clearing is the release of the keys of earlier sessions; nil if the service isn't keyed.
	clearing *clearing
	// started is when the session began to join; grants of earlier incarnations are older.
	started time.Time
	// expiredAt is when the lease was found to be expired; zero while it is valid.
	expiredAt time.Time
	// witnessNumbers holds the numbers of the witnesses' incarnations at the time they were chosen, by slot.
	witnessNumbers map[string]uint64
	// replaceable is from when on the instance joins again for other witnesses; zero while that wouldn't improve them.
	replaceable time.Time
	// restoredAt is when the record was last written because another writer had replaced it or the store had lost it. unwritten means that
	// the write failed.
	restoredAt time.Time
	unwritten  bool
	// era is the newest era of the store in which the row is known.
	era uint64
	// registered is when the record was written, before the call, and confirming that of the newest call to confirm the registration.
	registered, confirming time.Time
	ctx                    context.Context
}

// self returns the incarnation of the session.
func (s *session) self() member.Incarnation { return s.record.Incarnation }

// firstIncarnation returns the incarnation that identifies the process until it has joined. Joined ones have higher numbers.
func (sc *Sidecar) firstIncarnation() member.Incarnation {
	return member.NewIncarnation(sc.settings.Slot, 0)
}

// keys returns the keys that the upstream may serve, or nil if the service isn't keyed. Without a configuration, the instance that sent a
// request knows that its key matters.
func (sc *Sidecar) keys() gateway.Keys {
	if sc.routes.Load() != nil && !sc.keyed() {
		return nil
	}
	s := sc.session.Load()
	if s == nil || s.grantManager == nil {
		return noKeys{}
	}
	return admission{manager: s.grantManager}
}

// keyed reports whether the requests of the local service are routed by key, so that each key has one owner.
func (sc *Sidecar) keyed() bool {
	table := sc.routes.Load()
	if table == nil {
		return false
	}
	service, _ := table.Service(sc.settings.Service)
	return service.Keyed
}

// runSessions joins as a new incarnation each time the previous one has ended, until ctx ends.
func (sc *Sidecar) runSessions(ctx context.Context) {
	if sc.rows.Wait(ctx) != nil {
		return
	}
	sc.endSilence()
	sc.restoreDeparture()
	sc.identifyRunningUpstream(ctx)
	for ctx.Err() == nil {
		if !sc.awaitUpstream(ctx) {
			return
		}
		s, err := sc.join(ctx)
		if err != nil {
			klog.ErrorS(err, "session: join failed")
			wait.For(ctx, retryWait)
			continue
		}
		klog.InfoS("session: joined", "instance", s.self(), "upstream", s.upstreamRun.get(), "witnesses", s.record.Witnesses)
		s.run(ctx)
		sc.recordUnresponsiveWitnesses(ctx, s)
		klog.InfoS("session: ended", "instance", s.self(), "upstream", s.upstreamRun.get())
	}
}

// restoreDeparture makes the gateway know that the upstream leaves if it announced that to an earlier process in this slot. A heartbeat
// that it sent before may arrive at this process.
func (sc *Sidecar) restoreDeparture() {
	record, ok := sc.directory.record(sc.settings.Slot)
	if !ok || record.UpstreamLeft == 0 || record.Service != sc.settings.Service {
		return
	}
	left := time.UnixMilli(record.UpstreamLeft)
	if now := time.Now(); left.After(now) {
		left = now
	}
	sc.gateway.DeregisterAt(gateway.UpstreamRun{ID: record.Upstream, Started: record.UpstreamStarted}, left)
}

// identifyRunningUpstream asks an upstream that has kept running while the process was restarted for its id, because its next heartbeat
// may be more than a second away.
func (sc *Sidecar) identifyRunningUpstream(ctx context.Context) {
	record, ok := sc.directory.record(sc.settings.Slot)
	if !ok || record.Upstream == "" || record.Service != sc.settings.Service || sc.config.Wait(ctx) != nil {
		return
	}
	table := sc.routes.Load()
	if table == nil {
		return
	}
	service, _ := table.Service(sc.settings.Service)
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	report, err := sc.gateway.CheckHealth(ctx, service.HealthPath)
	id := report.ID
	if err != nil || id == "" {
		klog.InfoS("upstream: id unknown; waiting for its heartbeat", "err", err)
		return
	}
	run := gateway.UpstreamRun{ID: id}
	if id == record.Upstream {
		run.Started = record.UpstreamStarted
	}
	sc.gateway.Assume(gateway.Registration{
		UpstreamRun: run, Service: record.Service, Address: sc.settings.UpstreamAddress, DataCentre: record.DataCentre,
		Slots: int(record.Capacity), ColdFor: report.ColdFor, ColdUnknown: !report.ColdKnown,
	})
}

// awaitUpstream waits until the upstream is usable and there is a configuration, which tells whether its service is keyed. It
// returns false if ctx ends first.
func (sc *Sidecar) awaitUpstream(ctx context.Context) bool {
	for {
		if sc.gateway.State().Usable() && sc.routes.Load() != nil {
			return true
		}
		select {
		case <-sc.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// join starts a session with a new incarnation: it chooses the witnesses and writes the record.
func (sc *Sidecar) join(ctx context.Context) (*session, error) {
	run := sc.gateway.State().UpstreamRun
	s := &session{
		sidecar: sc, started: time.Now(), upstreamRun: trackedRun{run: run}, era: store.Era(sc.rows.Version()), ctx: ctx,
	}
	if sc.keyed() {
		cleared, err := sc.clearEarlierGrants(ctx, run)
		if err != nil {
			return nil, err
		}
		if s.clearing = newClearing(cleared); !sc.mayHoldEarlierGrants(run) {
			s.clearing = sc.startClearing(ctx, run)
		}
	}
	row := sc.rows.Get(member.RowKey(sc.settings.Slot))
	if !row.Deleted {
		s.version = row.Version
	}
	s.record = member.Record{
		Incarnation: sc.nextIncarnation(row), Name: sc.settings.Name,
		Service: sc.settings.Service, DataCentre: sc.settings.DataCentre, Region: sc.settings.Region,
		PeerAddress: sc.settings.PeerAddress, HeartbeatAddress: sc.settings.HeartbeatAddress, CallerAddress: sc.settings.CallerAddress,
		Capacity: float64(sc.gateway.State().Slots), Processor: sc.settings.Processor, Upstream: run.ID, UpstreamStarted: run.Started,
		State: sc.wantedState(), Revocable: true,
	}
	if sc.keyed() {
		if sc.session.Load() == nil && len(sc.others()) < witnessCount {
			// At the start of a deployment, the other instances need this one's address to choose it as a witness.
			if err := s.write(ctx); err != nil {
				return nil, err
			}
			sc.awaitOthers(ctx)
		}
		s.record.Witnesses = sc.chooseWitnesses()
		s.witnessNumbers = sc.directory.incarnationNumbers(s.record.Witnesses)
	}
	return s, s.write(ctx)
}

// nextIncarnation returns a new incarnation. Versions of rows grow with each write to the store, so that a number above the version of
// the instance's row is above those of all earlier incarnations, whatever the row holds, and not above the version of the next write.
func (sc *Sidecar) nextIncarnation(row store.Row) member.Incarnation {
	newest := row.Version
	if newest == 0 {
		newest = sc.rows.Version()
	}
	return member.NewIncarnation(sc.settings.Slot, newest+1)
}

// write replaces the instance's record in the store.
func (s *session) write(ctx context.Context) error {
	value, err := json.Marshal(s.record)
	if err != nil {
		return err
	}
	began := time.Now()
	version, err := s.sidecar.replaceRow(ctx, member.RowKey(s.self().Slot()), s.version, value)
	if err != nil {
		return err
	}
	s.version, s.registered = version, began
	return nil
}

// adoptRow makes the next write of the record replace the newest known row, and reports whether another writer has changed it. A record
// of a newer incarnation, which is that of another process in the slot, isn't replaced, nor is one by which the lease has expired. One
// that revokes this incarnation is: the lease can't be proved to have expired then.
func (s *session) adoptRow() bool {
	row := s.sidecar.rows.Get(member.RowKey(s.self().Slot()))
	if row.Version <= s.version {
		return false
	}
	if row.Deleted {
		s.version = 0
		return true
	}
	stored, err := decodeRecord(row)
	if err == nil && (stored.Incarnation.Number() > s.self().Number() || hasExpired(stored, s.self())) {
		return false
	}
	s.version = row.Version
	if err != nil || stored.Incarnation != s.self() {
		return true
	}
	// An earlier write may have taken effect whose outcome was unknown. It is repeated if it was counted as failed.
	own, err := json.Marshal(s.record)
	return s.record.State != "" && (err != nil || string(row.Value) != string(own))
}

// awaitOthers waits for othersTimeout, or until there are twice as many other instances as witnesses are needed.
func (sc *Sidecar) awaitOthers(ctx context.Context) {
	deadline := time.Now().Add(othersTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && len(sc.others()) < 2*witnessCount {
		wait.For(ctx, retryWait)
	}
}

// witnessAddresses returns the heartbeat addresses of the witnesses in the given slots. A slot without a record, such as the own one
// before it joined, gets the own address.
func (sc *Sidecar) witnessAddresses(slots []string) []heartbeat.WitnessAddress {
	addresses := make([]heartbeat.WitnessAddress, 0, len(slots))
	for _, slot := range slots {
		address := sc.settings.HeartbeatAddress
		if r, ok := sc.directory.record(slot); ok {
			address = r.HeartbeatAddress
		}
		addresses = append(addresses, heartbeat.NewWitnessAddress(slot, address))
	}
	return addresses
}

// run serves as the session's incarnation until another run of the upstream begins, the lease is lost or ctx ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sc := s.sidecar
	// What this session grants has to be released by the next one.
	sc.clearing = nil
	group, ctx := errgroup.WithContext(ctx)
	if sc.keyed() {
		sc.endpoint.SetIncarnation(s.self())
		sc.endpoint.NoteUnrevoked(s.self(), s.registered)
		if err := sc.endpoint.SetWitnesses(sc.witnessAddresses(s.record.Witnesses)); err != nil {
			klog.ErrorS(err, "session: invalid witnesses", "instance", s.self())
			return
		}
		s.upstream = newSessionUpstream(sc.adapters.Grants(sc.gateway), func() bool {
			return s.upstreamRun.continues(sc.gateway.State().UpstreamRun)
		})
		s.upstream.clearing = s.clearing
		lease := clearedLease{Lease: sc.endpoint.Lease(), clearing: s.clearing}
		var earlier *grant.Manager
		if previous := sc.session.Load(); previous != nil {
			earlier = previous.grantManager
		}
		s.grantManager = grant.New(ctx, sc.settings.Service, s.self(), lease, s.upstream, sc,
			grant.WithMaxHold(sc.settings.MaxHold), grant.WithEarlier(earlier))
		group.Go(func() error {
			s.grantManager.Run(ctx)
			return nil
		})
	}
	sc.session.Store(s)
	s.updateMap()
	group.Go(func() error {
		defer cancel()
		s.followUpstream(ctx)
		return nil
	})
	// The goroutines return no errors.
	_ = group.Wait()
	if s.grantManager != nil {
		s.grantManager.Wait()
		s.upstream.end()
	}
}

// updateMap passes the newest key map to the grant manager.
func (s *session) updateMap() {
	if s.grantManager == nil {
		return
	}
	if current := s.sidecar.directory.keyMap(s.sidecar.settings.Service); current.keys != nil && !current.unconfirmed {
		s.grantManager.Update(current.keys)
	}
}

// followUpstream keeps the state in the record up to date with the upstream and returns when the incarnation has ended.
func (s *session) followUpstream(ctx context.Context) {
	ticker := time.NewTicker(retryWait)
	defer ticker.Stop()
	for {
		if !s.upstreamRun.continues(s.sidecar.gateway.State().UpstreamRun) || s.mustRejoin() {
			return
		}
		s.confirmRegistration(ctx)
		s.updateRecord(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.sidecar.wake:
		case <-ticker.C:
		}
	}
}

// updateRecord writes the record if its state has changed, another writer has replaced it or the store has lost it.
func (s *session) updateRecord(ctx context.Context) {
	s.spreadRestore()
	replaced := time.Since(s.restoredAt) >= restoreInterval && (s.adoptRow() || s.unwritten)
	wanted := s.sidecar.wantedState()
	if replaced {
		s.restoredAt = time.Now()
		row := s.sidecar.rows.Get(member.RowKey(s.self().Slot()))
		klog.InfoS("session: another writer has replaced the record; writing it again", "instance", s.self(), "row", row.Version,
			"lost", row.Lost, "era", store.Era(row.Version))
		s.sidecar.rewritten.WithLabelValues("record").Inc()
	}
	if replaced || wanted != s.record.State || s.upstreamLeft() != s.record.UpstreamLeft {
		written := s.publishState(ctx, wanted)
		if s.unwritten = replaced && !written; s.unwritten {
			s.record.State = wanted
		}
	}
}

// spreadRestore lets the record be written again at a random time within restoreInterval once the store has begun another era: all
// instances learn of it at the same time.
func (s *session) spreadRestore() {
	if era := store.Era(s.sidecar.rows.Get(member.RowKey(s.self().Slot())).Version); era > s.era {
		s.era = era
		s.restoredAt = time.Now().Add(-rand.N(restoreInterval))
	}
}

// wantedState returns the state to publish in the record: other instances send no requests without a key to one that drains.
func (sc *Sidecar) wantedState() member.State {
	if !sc.gateway.State().Usable() || sc.stopping.Load() {
		return member.Draining
	}
	return member.Ready
}

// upstreamLeft returns when the session's run of the upstream announced that it leaves, in milliseconds since 1970, or 0 if it hasn't. Once
// it is in the record, the process knows it after a restart.
func (s *session) upstreamLeft() int64 {
	state := s.sidecar.gateway.State()
	if !state.Leaving || !s.upstreamRun.continues(state.UpstreamRun) {
		return s.record.UpstreamLeft
	}
	return state.LeavingSince.UnixMilli()
}

// publishState writes the record with a state, and reports whether that succeeded. After a failure, the write is retried in the next round.
func (s *session) publishState(ctx context.Context, state member.State) bool {
	s.record.State, s.record.UpstreamLeft = state, s.upstreamLeft()
	if err := s.write(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("session: failed to write the record", "instance", s.self(), "state", state, "err", err)
		s.record.State = ""
		return false
	}
	klog.InfoS("session: state changed", "instance", s.self(), "state", state)
	return true
}

// mustRejoin reports whether the instance must join as a new incarnation, because its lease is lost, has been invalid for too long, or
// can't get enough witnesses.
func (s *session) mustRejoin() bool {
	if s.grantManager == nil {
		return false
	}
	if r, ok := s.sidecar.directory.record(s.self().Slot()); ok && hasExpired(r, s.self()) {
		klog.InfoS("session: the lease has expired according to the record", "instance", s.self())
		s.sidecar.endpoint.EndLease()
		return true
	}
	lease := s.sidecar.endpoint.Lease()
	if lease.Valid() {
		s.expiredAt = time.Time{}
		if s.canReplaceWitnesses(s.ctx, time.Now()) {
			klog.InfoS("session: joining again for other witnesses", "instance", s.self(), "witnesses", s.record.Witnesses)
			return true
		}
		return false
	}
	if s.expiredAt.IsZero() {
		s.expiredAt = time.Now()
	}
	if s.witnessesStartedLater(lease.Generation()) {
		klog.InfoS("session: witnesses started after the instance joined", "instance", s.self(), "witnesses", s.record.Witnesses)
		return true
	}
	limit := rejoinAfter
	if lease.Generation() == 0 && time.Since(s.started) < 2*othersTimeout {
		// The first lease may take longer, because restarted witnesses don't support a lease at first.
		limit = 2 * othersTimeout
	}
	return lease.Lost() || time.Since(s.expiredAt) > limit && s.sidecar.rows.Reachable()
}

// leaseChanged logs a change of the lease's validity, makes the session loop check it and triggers a report to the planner.
func (sc *Sidecar) leaseChanged(valid bool, reason string) {
	klog.InfoS("lease: changed", "valid", valid, "reason", reason)
	sc.wakeUp()
	sc.reportSoon()
}
