package planner

import (
	"context"
	"encoding/json"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/table"

	"k8s.io/klog/v2"
)

const (
	// LeaseKey is the table key of the planner lease.
	LeaseKey = "planner"
	// DefaultLeaseDuration leads to 6 writes a minute, since a lease is renewed three times within its duration.
	DefaultLeaseDuration = 30 * time.Second
	renewalsPerLease     = 3
	// maxClockRatio is the maximum ratio of the speed of a reader's clock to that of the holder's clock.
	maxClockRatio = 1.01
)

// LeaseRow is the value of the row "planner".
type LeaseRow struct {
	// Holder is zero after the holder released the lease.
	Holder member.Incarnation `json:"holder"`
	// DurationMilliseconds is the duration of the lease. A reader counts it from the time at which it first read this
	// version of the row, so that it needn't rely on the holder's clock.
	DurationMilliseconds int64 `json:"milliseconds"`
	// WriteID identifies the write of this version of the row.
	WriteID string `json:"write"`
}

// lease is what this planner knows of the lease row. All times are by its own clock.
type lease struct {
	row  LeaseRow
	held bool
	// version is the row's version and firstSeen the time at which this planner first read or wrote it.
	version   uint64
	firstSeen time.Time
	// lastRead is the time of the last read of the row.
	lastRead time.Time
	// expiresAt is the end of the lease that this planner holds, counted from when its last write was sent.
	expiresAt time.Time
	// renewAt is the time from which the lease is renewed.
	renewAt time.Time
	// unconfirmed is true while a write of this planner that is conditional on version may have taken effect without its
	// knowledge, or may still do so.
	unconfirmed bool
}

// Leading reports whether the planner holds the lease now.
func (p *Planner) Leading() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.held && time.Now().Before(p.lease.expiresAt)
}

// acquireOrRenewLease acquires the lease if it is free, renews it if that is due, and reports whether the planner holds it.
func (p *Planner) acquireOrRenewLease(ctx context.Context) (bool, error) {
	now := time.Now()
	if p.Leading() && now.Before(p.lease.renewAt) {
		return true, nil
	}
	if !p.lease.held && !p.lease.lastRead.IsZero() && now.Sub(p.lease.lastRead) < p.leaseDuration/renewalsPerLease {
		return false, nil
	}
	if err := p.readLease(ctx); err != nil {
		return p.Leading(), err
	}
	if !p.mayWriteLease(ctx) {
		p.dropLease()
		return false, nil
	}
	if err := p.writeLease(ctx, p.incarnation); err != nil {
		return p.Leading(), err
	}
	return true, nil
}

// readLease reads the lease row.
func (p *Planner) readLease(ctx context.Context) error {
	stored, err := p.table.Get(ctx, LeaseKey)
	if err != nil {
		return err
	}
	now := time.Now()
	p.lease.lastRead = now
	if stored.Version == p.lease.version && !p.lease.firstSeen.IsZero() {
		return nil
	}
	var row LeaseRow
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			// An undecodable row counts as a lease of an unknown holder, which can be replaced once it has expired.
			row = LeaseRow{DurationMilliseconds: p.leaseDuration.Milliseconds()}
			klog.ErrorS(err, "planner: failed to decode the lease row")
		}
	}
	p.lease.row, p.lease.version, p.lease.firstSeen, p.lease.unconfirmed = row, stored.Version, now, false
	return nil
}

// mayWriteLease reports whether this planner may acquire or renew the lease: it holds the lease itself, nobody does, the
// lease has expired, or the holder has ended.
func (p *Planner) mayWriteLease(ctx context.Context) bool {
	row := p.lease.row
	// A released lease has no holder but a WriteID; an undecodable row, see readLease, has neither and must expire first.
	if p.lease.version == 0 || row.Holder == p.incarnation || row.Holder.IsZero() && row.WriteID != "" {
		return true
	}
	duration := time.Duration(float64(row.DurationMilliseconds)*maxClockRatio) * time.Millisecond
	return time.Since(p.lease.firstSeen) >= duration || p.holderEnded(ctx, row.Holder)
}

// holderEnded reports whether the holder's slot has a newer incarnation, the holder's record says that it has ended, or its
// own lease is proved to have expired.
func (p *Planner) holderEnded(ctx context.Context, holder member.Incarnation) bool {
	stored, err := p.table.Get(ctx, member.RowKey(holder.Slot()))
	if err != nil || stored.Version == 0 {
		return false
	}
	var record member.Record
	if json.Unmarshal(stored.Value, &record) != nil {
		return false
	}
	if record.Incarnation.Number() > holder.Number() {
		return true
	}
	return record.Incarnation == holder && (record.State.Ended() || p.expired(ctx, record))
}

// writeLease writes the lease row with the given holder; a zero holder releases the lease, which the caller then drops.
func (p *Planner) writeLease(ctx context.Context, holder member.Incarnation) error {
	row := LeaseRow{Holder: holder, DurationMilliseconds: p.leaseDuration.Milliseconds(), WriteID: p.nextWriteID()}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	p.lease.unconfirmed = true
	sent := time.Now()
	version, err := p.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: LeaseKey, Version: p.lease.version}},
		Writes:     []table.Write{{Key: LeaseKey, Value: value}},
	}, row.WriteID)
	if c, _ := code.Of(err); c == code.Conflict {
		p.dropLease()
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease.row, p.lease.version, p.lease.firstSeen, p.lease.unconfirmed = row, version, sent, false
	if holder.IsZero() {
		return nil
	}
	if !p.lease.held {
		klog.InfoS("planner: acquired the lease", "incarnation", holder)
	}
	p.lease.held, p.lease.expiresAt, p.lease.renewAt = true, sent.Add(p.leaseDuration), sent.Add(p.leaseDuration/renewalsPerLease)
	return nil
}

// dropLease records that the planner doesn't hold the lease, without a write.
func (p *Planner) dropLease() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease.held {
		klog.InfoS("planner: no longer holds the lease", "incarnation", p.incarnation)
	}
	p.lease.held = false
}

// releaseLease writes the lease without a holder, so that another planner needn't wait for its expiry. The lease may be this planner's
// without its knowledge, if a write took effect whose call was cancelled or whose response was lost.
func (p *Planner) releaseLease(ctx context.Context) {
	if !p.Leading() && !p.lease.unconfirmed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), table.DefaultTimeout)
	defer cancel()
	// Writing before reading keeps an unconfirmed write that is still on its way from taking effect.
	err := p.writeLease(ctx, member.Incarnation{})
	if c, _ := code.Of(err); c == code.Conflict {
		if err = p.readLease(ctx); err == nil && p.lease.row.Holder == p.incarnation {
			err = p.writeLease(ctx, member.Incarnation{})
		}
	}
	if err != nil {
		klog.ErrorS(err, "planner: failed to release the lease")
	}
	p.dropLease()
}
