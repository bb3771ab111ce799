package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/loglimit"
)

// Backend is a store that counts its transactions, and that may come back from a copy: it then lacks its last transactions and counts on
// from the copy's counter. In the parameters and results of its calls, versions are such counters. The errors are those of Store.
type Backend interface {
	Commit(ctx context.Context, t Transaction) (Response, error)
	List(ctx context.Context, table string) (Response, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Response, error)
}

// Response is the response of a Backend to a call, which may have failed.
type Response struct {
	Rows    []Row
	Version uint64
	// Arrived means that the backend responded, and Era is the era that it named, empty if it named none. Each return from a copy begins
	// the next era.
	Arrived bool
	Era     string
}

// Eras implements Store with a Backend. Its versions never go back, see NewVersion: all rows of a new era are newer than those before.
type Eras struct {
	backend Backend

	mu sync.Mutex
	// named means that a response has named an era, and current is the newest one.
	named   bool
	current uint64
	// reads holds the functions that end the open reads.
	reads map[*context.CancelFunc]struct{}
	// oddEras limits the log lines about eras that aren't used.
	oddEras loglimit.Limiter
}

// NewEras returns a store with a backend.
func NewEras(b Backend) *Eras {
	return &Eras{backend: b, reads: make(map[*context.CancelFunc]struct{})}
}

// errEarlierEra means that a call ended, or its response was dropped, because the store has begun another era since.
var errEarlierEra = errors.New("the response is of an earlier era of the store")

// Commit implements Store. A condition on a version of an earlier era fails, because the counter may be that of another row by now.
func (e *Eras) Commit(ctx context.Context, t Transaction) (uint64, error) {
	begun := e.Current()
	basis := begun
	for _, c := range t.Conditions {
		basis = max(basis, Era(c.Version))
	}
	counted := Transaction{Writes: t.Writes}
	for _, c := range t.Conditions {
		c.Version = conditionCounter(c.Version, basis)
		counted.Conditions = append(counted.Conditions, c)
	}
	response, err := e.backend.Commit(ctx, counted)
	if !response.Arrived {
		return 0, err
	}
	era, usable := e.observe(begun, response.Era)
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict) && usable:
		return 0, NewConflictError(versioned(conflict.Rows(), era))
	case conflict != nil:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, errEarlierEra)
	case err != nil:
		return 0, err
	case !usable, era != basis:
		// The write may be lost, or have replaced another row than the one that its conditions meant.
		return 0, fmt.Errorf("%w: %w", ErrUnknown, errEarlierEra)
	default:
		return NewVersion(era, response.Version), nil
	}
}

// conditionCounter returns the counter that a row must have in an era to have a version, or one that no row has if the version is of an
// earlier era.
func conditionCounter(version, era uint64) uint64 {
	if version > 0 && Era(version) < era {
		return MaxCounter
	}
	return Counter(version)
}

// List implements Store. It returns ErrHistoryLost if another call shows meanwhile that the next era has begun.
func (e *Eras) List(ctx context.Context, table string) ([]Row, uint64, error) {
	return e.read(ctx, func(ctx context.Context) (Response, error) { return e.backend.List(ctx, table) })
}

// Changes implements Store. Changes after a version of an earlier era aren't known, even if the store has given out its counter again.
func (e *Eras) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	if Era(after) < e.Current() {
		return nil, 0, ErrHistoryLost
	}
	rows, version, err := e.read(ctx, func(ctx context.Context) (Response, error) {
		return e.backend.Changes(ctx, table, Counter(after), wait)
	})
	if current := e.Current(); Era(after) < current || err == nil && Era(after) != Era(version) {
		return nil, 0, ErrHistoryLost
	}
	return rows, version, err
}

// read makes a call to the backend, which ends early if another one shows that the next era has begun.
func (e *Eras) read(ctx context.Context, call func(ctx context.Context) (Response, error)) ([]Row, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	begun := e.current
	e.reads[&cancel] = struct{}{}
	e.mu.Unlock()
	response, err := call(ctx)
	e.mu.Lock()
	delete(e.reads, &cancel)
	ended := ctx.Err() != nil && e.current != begun
	e.mu.Unlock()
	if !response.Arrived {
		if ended {
			err = fmt.Errorf("%w: %w: %w", ErrHistoryLost, errEarlierEra, err)
		}
		return nil, 0, err
	}
	era, usable := e.observe(begun, response.Era)
	switch {
	case err != nil:
		return nil, 0, err
	case !usable:
		return nil, 0, fmt.Errorf("%w: %w", ErrHistoryLost, errEarlierEra)
	}
	return versioned(response.Rows, era), NewVersion(era, response.Version), nil
}

// versioned returns rows with versions in place of counters. A row without a counter stays without a version.
func versioned(rows []Row, era uint64) []Row {
	rows = slices.Clone(rows)
	for n := range rows {
		if rows[n].Version > 0 {
			rows[n].Version = NewVersion(era, rows[n].Version)
		}
	}
	return rows
}

// Current returns the newest era that a response has named, 0 before the first.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// observe returns the era of a response to a call that began in an era, and false if the response may be of an earlier era than the newest
// one. A response that names no era or an odd one counts as one of the newest era, unless that has begun since the call, and so does one
// that names an earlier era although the newest one was known when the call began: the rows of the store stay in use.
func (e *Eras) observe(begun uint64, named string) (era uint64, usable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if named == "" && !e.named {
		return e.current, true
	}
	era, err := strconv.ParseUint(named, 10, 64)
	if err == nil && era > MaxEra {
		err = fmt.Errorf("the largest era is %d", MaxEra)
	}
	switch {
	case err != nil:
		e.logOdd("unreadable", named, err)
		return e.current, begun == e.current
	case era < e.current && begun == e.current:
		e.logOdd("falling", named, errors.New("eras don't fall"))
		return e.current, true
	case era < e.current:
		klog.InfoS("store: response of an earlier era ignored", "era", era, "current", e.current)
		return era, false
	case era == e.current:
		e.named = true
		return era, true
	}
	klog.InfoS("store: era changed", "from", e.current, "to", era, "first", !e.named, "openReads", len(e.reads))
	if e.named {
		for cancel := range e.reads {
			(*cancel)()
		}
	}
	e.named, e.current = true, era
	return era, true
}

// logOdd logs an era that isn't used, once in a while. mu must be held.
func (e *Eras) logOdd(subject, named string, err error) {
	if e.oddEras.Allow(subject) {
		klog.InfoS("store: era ignored", "named", loglimit.Text(named), "current", e.current, "err", err)
	}
}
