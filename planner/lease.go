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
	// LeaseKey is the table key of the planner's lease.
	LeaseKey = "planner"
	// DefaultLease is renewed three times within its length, which makes 6 writes a minute.
	DefaultLease = 30 * time.Second
	renewals     = 3
	// drift bounds how much faster a reader's clock may run than the holder's.
	drift = 1.01
)

// LeaseRow is the value of the row "planner".
type LeaseRow struct {
	// Holder is zero after a holder gave the lease up.
	Holder member.Incarnation `json:"holder"`
	// Milliseconds is the length of the lease. It runs from the time at which a reader first sees the row's version.
	Milliseconds int64  `json:"milliseconds"`
	Write        string `json:"write"`
}

// lease is the planner's view of the lease row. All times are its own.
type lease struct {
	row  LeaseRow
	held bool
	// version is the row's version and seen the time since when it is known.
	version uint64
	seen    time.Time
	// read is the time of the last read of the row.
	read time.Time
	// until is the end of the own lease, counted from the sending of its last write.
	until time.Time
	renew time.Time
}

// Leading reports whether the planner holds the lease now.
func (p *Planner) Leading() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.held && time.Now().Before(p.lease.until)
}

// lead acquires or renews the lease and reports whether the planner holds it.
func (p *Planner) lead(ctx context.Context) (bool, error) {
	now := time.Now()
	if p.Leading() && now.Before(p.lease.renew) {
		return true, nil
	}
	if !p.lease.held && !p.lease.read.IsZero() && now.Sub(p.lease.read) < p.length/renewals {
		return false, nil
	}
	if err := p.readLease(ctx); err != nil {
		return p.Leading(), err
	}
	if !p.free(ctx) {
		p.drop()
		return false, nil
	}
	if err := p.writeLease(ctx, p.incarnation); err != nil {
		return p.Leading(), err
	}
	return true, nil
}

func (p *Planner) readLease(ctx context.Context) error {
	stored, err := p.table.Get(ctx, LeaseKey)
	if err != nil {
		return err
	}
	now := time.Now()
	p.lease.read = now
	if stored.Version == p.lease.version && !p.lease.seen.IsZero() {
		return nil
	}
	var row LeaseRow
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			// An unreadable row is treated as a lease that this planner may replace once it has expired.
			row = LeaseRow{Milliseconds: p.length.Milliseconds()}
			klog.ErrorS(err, "planner: the lease row is unreadable")
		}
	}
	p.lease.row, p.lease.version, p.lease.seen = row, stored.Version, now
	return nil
}

// free reports whether this planner may write the lease: it holds it, nobody does, or the holder is gone or silent.
func (p *Planner) free(ctx context.Context) bool {
	row := p.lease.row
	if p.lease.version == 0 || row.Holder == p.incarnation || row.Holder.IsZero() && row.Write != "" {
		return true
	}
	length := time.Duration(float64(row.Milliseconds)*drift) * time.Millisecond
	return time.Since(p.lease.seen) >= length || p.holderGone(ctx, row.Holder)
}

// holderGone reports whether the holder's slot has a newer incarnation or the holder is recorded or proved as gone.
func (p *Planner) holderGone(ctx context.Context, holder member.Incarnation) bool {
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
	return record.Incarnation == holder && (record.State.Gone() || p.expired(ctx, record))
}

func (p *Planner) writeLease(ctx context.Context, holder member.Incarnation) error {
	row := LeaseRow{Holder: holder, Milliseconds: p.length.Milliseconds(), Write: p.nextWrite()}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	sent := time.Now()
	version, err := p.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: LeaseKey, Version: p.lease.version}},
		Writes:     []table.Write{{Key: LeaseKey, Value: value}},
	}, row.Write)
	if c, _ := code.Of(err); c == code.Conflict {
		p.drop()
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lease.held {
		klog.InfoS("planner: acquired the lease", "incarnation", holder)
	}
	p.lease.row, p.lease.version, p.lease.seen = row, version, sent
	p.lease.held, p.lease.until, p.lease.renew = true, sent.Add(p.length), sent.Add(p.length/renewals)
	return nil
}

func (p *Planner) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease.held {
		klog.InfoS("planner: lost the lease", "incarnation", p.incarnation)
	}
	p.lease.held = false
}

// resign gives the lease up, so that another planner need not wait for its expiry.
func (p *Planner) resign(ctx context.Context) {
	if !p.Leading() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), table.DefaultTimeout)
	defer cancel()
	if err := p.writeLease(ctx, member.Incarnation{}); err != nil {
		klog.ErrorS(err, "planner: the lease was not given up")
	}
	p.drop()
}
