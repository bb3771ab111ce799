package sidecar

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/store"
	"sapphiretray/wait"
	"sapphiretray/witness"
)

const (
	// leaseBacking is how long a lease lasts without the support of all witnesses and without contact to the store. A revocation takes as
	// long, and keys have to be served again within 15 s of a restart of all processes. It outlasts the restart of a witness.
	leaseBacking = 6 * time.Second
	// registrationAge is the age of the newest backing from which on an instance confirms its registration at the store, at intervals of
	// confirmInterval. Witnesses that restart are usually back before.
	registrationAge = 3 * time.Second
	confirmInterval = time.Second
	// revokeDelay is how long too few witnesses must have responded for their holder to be revoked.
	revokeDelay = 1500 * time.Millisecond
)

// revocations holds the proofs of revoked leases, on the instance that plans for the service. The zero value is ready to use.
type revocations struct {
	mu     sync.Mutex
	proofs map[member.Incarnation]*revocation
}

// revocation is the state of one proof.
type revocation struct {
	proof *witness.RevocationProof
	// since is when no instance in the slot was first found to report, or later if the holder has written its record again. row is the
	// version of the row that revokes the incarnation, 0 before.
	since time.Time
	row   uint64
	// busy means that a goroutine uses the fields above.
	busy bool
}

// newProof returns a proof without confirmations for the incarnation of a record.
func newProof(record member.Record) *witness.RevocationProof {
	return witness.NewRevocationProof(record.Incarnation, record.Witnesses, leaseBacking, timing())
}

// begin returns the proof for the incarnation of a record and begins one if there is none. It returns nil while another goroutine uses
// the proof, and otherwise release has to be called.
func (rs *revocations) begin(record member.Record) *revocation {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.proofs == nil {
		rs.proofs = make(map[member.Incarnation]*revocation)
	}
	i := record.Incarnation
	r, ok := rs.proofs[i]
	if !ok {
		maps.DeleteFunc(rs.proofs, func(other member.Incarnation, _ *revocation) bool { return other.Slot() == i.Slot() })
		r = &revocation{proof: newProof(record), since: time.Now()}
		rs.proofs[i] = r
	}
	if r.busy {
		return nil
	}
	r.busy = true
	return r
}

// release lets other goroutines use a proof again. It is dropped if it has ended.
func (rs *revocations) release(r *revocation, ended bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.busy = false
	if i := r.proof.Holder(); ended && rs.proofs[i] == r {
		delete(rs.proofs, i)
	}
}

// hasExpired reports whether a record says that the lease of an incarnation has expired.
func hasExpired(r member.Record, i member.Incarnation) bool {
	return r.Incarnation == i && r.State == member.Expired
}

// expireRecord makes progress with writing that the lease of the newest incarnation in a slot has expired. All instances then know that
// it and earlier ones in the slot, of which i is one, serve no keys. proved means that the expiry of the lease of i is proved. Nothing
// may have reported from the slot.
func (sc *Sidecar) expireRecord(ctx context.Context, i member.Incarnation, proved bool) {
	// The directory's record may be older than the row, which the holder may have written again after a revocation.
	row := sc.rows.Get(member.RowKey(i.Slot()))
	record, err := decodeRecord(row)
	if row.Deleted || err != nil || record.Incarnation.Number() < i.Number() || record.State.Ended() {
		return
	}
	r := sc.revocations.begin(record)
	if r == nil {
		return
	}
	if record.Incarnation == i && proved {
		sc.writeState(ctx, record, row, member.Expired)
		sc.revocations.release(r, true)
		return
	}
	sc.revocations.release(r, sc.advanceRevocation(ctx, r, record, row, record.Incarnation == i))
}

// advanceRevocation takes the next step to the proof that the lease of a record's incarnation has expired, and returns true if the proof is
// complete or has to begin again. The row is that of the record.
//
// If too few witnesses respond, they may be permanently down, and no majority will ever respond. The record then says first that the
// incarnation is revoked; see witness.RevocationProof. held means that the incarnation is known to have held its lease.
func (sc *Sidecar) advanceRevocation(ctx context.Context, r *revocation, record member.Record, row store.Row, held bool) (ended bool) {
	if !held && time.Since(r.since) < revokeDelay {
		// The incarnation may be about to get its first lease, which witnesses would refuse once they have confirmed an expiry.
		return false
	}
	if r.row > 0 && row.Version != r.row {
		// The holder has written its record again, as it runs and this instance can't reach it, or the store has lost the revocation.
		r.proof = newProof(record)
		r.since, r.row = time.Now().Add(leaseBacking), 0
		return false
	}
	if len(record.Witnesses) == 0 {
		// It has no lease yet, and can't get one if another writer replaces its record first.
		return sc.writeExpired(ctx, record, row)
	}
	if left, ok := r.proof.Remaining(time.Now()); ok && left < reportLifetime {
		wait.For(ctx, left)
	}
	confirmed, responded := sc.askWitnesses(ctx, r.proof, record.Witnesses)
	if confirmed == 0 && !r.proof.Alone() || confirmed < responded {
		return true
	}
	if responded > len(record.Witnesses)/2 || r.proof.Proved(time.Now()) {
		return sc.writeExpired(ctx, record, row)
	}
	sc.revokeRecord(ctx, r, record, row)
	return false
}

// revokeRecord writes that the incarnation of a record is revoked, unless it is, once nothing has reported from its slot for revokeDelay.
func (sc *Sidecar) revokeRecord(ctx context.Context, r *revocation, record member.Record, row store.Row) {
	switch {
	case record.State == member.Revoked:
		r.row = row.Version
		r.proof.NoteRevoked(time.Now())
	case record.Revocable && time.Since(r.since) >= revokeDelay:
		sc.writeState(ctx, record, row, member.Revoked)
	}
}

// writeExpired writes that the lease of a record's incarnation has expired, once the grants of earlier incarnations in the slot have ended.
// It returns true.
func (sc *Sidecar) writeExpired(ctx context.Context, record member.Record, row store.Row) (ended bool) {
	if wait.For(ctx, sc.joined.earlierHold(record.Incarnation, time.Now())) {
		sc.writeState(ctx, record, row, member.Expired)
	}
	return true
}

// askWitnesses asks each of the witnesses once whether the lease of the proof's holder has expired. It returns how many confirmed that, and
// how many responded.
func (sc *Sidecar) askWitnesses(ctx context.Context, proof *witness.RevocationProof, slots []string) (confirmed, responded int) {
	prover := heartbeat.NewProver(sc.dialSlot, timing())
	var group errgroup.Group
	var mu sync.Mutex
	for _, slot := range slots {
		group.Go(func() error {
			requested := time.Now()
			c, err := prover.Ask(ctx, proof.Holder(), slot)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				klog.V(1).InfoS("plan: witness doesn't respond", "instance", proof.Holder(), "witness", slot, "err", err)
			case c.Expired:
				confirmed++
				responded++
				proof.Confirm(slot, c.Run, requested, time.Now())
			default:
				responded++
				proof.Deny(slot)
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	if i := proof.Holder(); confirmed <= len(slots)/2 && sc.directory.logLimit.Allow("unproved "+i.String()) {
		klog.InfoS("plan: no majority of the witnesses confirms the expiry of the lease", "instance", i, "witnesses", slots,
			"responded", responded, "confirmed", confirmed)
	}
	return confirmed, responded
}

// writeState replaces the row with the record of another instance by one with a new state.
func (sc *Sidecar) writeState(ctx context.Context, record member.Record, row store.Row, state member.State) {
	record.State = state
	value, err := json.Marshal(record)
	if err != nil {
		klog.ErrorS(err, "plan: record not encoded", "instance", record.Incarnation)
		return
	}
	version, err := sc.replaceRow(ctx, row.Key, row.Version, value)
	klog.InfoS("plan: record of a lost instance written", "instance", record.Incarnation, "state", state, "witnesses", record.Witnesses,
		"row", version, "err", err)
	sc.revoked.WithLabelValues(string(state)).Inc()
	sc.planSoon()
}

// confirmRegistration asks the store from time to time whether the incarnation is still registered, while not all witnesses support its
// lease: then it may be revoked. It doesn't wait for the response.
func (s *session) confirmRegistration(ctx context.Context) {
	sc, now := s.sidecar, time.Now()
	unbacked := s.grantManager != nil && sc.endpoint.Lease().Valid() && sc.endpoint.Unbacked(now) >= registrationAge
	if !unbacked || now.Sub(s.confirming) < confirmInterval {
		return
	}
	s.confirming = now
	version := s.version
	sc.group.Go(func() error {
		err := sc.confirmRow(ctx, member.RowKey(s.self().Slot()), version)
		if err != nil {
			klog.InfoS("session: registration not confirmed", "instance", s.self(), "row", version, "err", err)
			return nil
		}
		sc.endpoint.NoteUnrevoked(s.self(), now)
		klog.V(1).InfoS("session: registration confirmed", "instance", s.self(), "row", version)
		return nil
	})
}
