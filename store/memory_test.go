package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/store"
	"sapphiretray/wait"
)

// memory is a store in memory with faults.
type memory struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	history []store.Row
	version uint64
	// era is the number of times that the store has come back from a copy.
	era uint64
	// dropped is the version up to which the history is no longer kept.
	dropped uint64
	// unavailable makes all calls fail with ErrUnavailable. feedErr is the error of calls for changes, nil if they are answered.
	unavailable bool
	feedErr     error
	// silent makes Changes return no rows.
	silent bool
	// deaf is closed and replaced when the calls that wait for changes must never be answered. They fail clientMargin after their wait.
	deaf chan struct{}
	// latency is the time to the first byte of a response, transfer that from there to its end.
	latency, transfer time.Duration
	changed           chan struct{}
	// calls is the number of calls, of which listings were listings.
	calls, listings int
}

func newMemory() *memory {
	return &memory{rows: make(map[string]store.Row), changed: make(chan struct{}), deaf: make(chan struct{})}
}

// clientMargin is the time after which a client of the store gives up a call whose response is due.
const clientMargin = 1500 * time.Millisecond

// deafen makes the store forget the calls that wait for changes now. Later ones are answered.
func (m *memory) deafen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.deaf)
	m.deaf = make(chan struct{})
}

func (m *memory) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	row := store.Row{Table: "t", Key: key, Value: []byte(value), Version: m.version}
	m.rows[key] = row
	m.history = append(m.history, row)
	m.notify()
}

// remove deletes a row.
func (m *memory) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	delete(m.rows, key)
	m.history = append(m.history, store.Row{Table: "t", Key: key, Version: m.version, Deleted: true})
	m.notify()
}

// restore replaces the content by a copy of a version, from which the store counts on in the next era.
func (m *memory) restore(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.version, m.rows = version, make(map[string]store.Row)
	m.history = slices.DeleteFunc(m.history, func(r store.Row) bool { return r.Version > version })
	for _, row := range m.history {
		if m.rows[row.Key] = row; row.Deleted {
			delete(m.rows, row.Key)
		}
	}
	m.notify()
}

// memoryBackend implements store.Backend with a memory, whose versions are counters.
type memoryBackend struct{ *memory }

// response returns the response to a call in the era in which it arrived.
func (b memoryBackend) response(call func() ([]store.Row, uint64, error)) (store.Response, error) {
	rows, version, err := call()
	b.mu.Lock()
	defer b.mu.Unlock()
	arrived := err == nil || errors.Is(err, store.ErrHistoryLost)
	return store.Response{Rows: rows, Version: version, Arrived: arrived, Era: strconv.FormatUint(b.era, 10)}, err
}

func (b memoryBackend) Commit(context.Context, store.Transaction) (store.Response, error) {
	return store.Response{}, errors.ErrUnsupported
}

func (b memoryBackend) List(ctx context.Context, table string) (store.Response, error) {
	return b.response(func() ([]store.Row, uint64, error) { return b.memory.List(ctx, table) })
}

func (b memoryBackend) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Response, error) {
	return b.response(func() ([]store.Row, uint64, error) { return b.memory.Changes(ctx, table, after, wait) })
}

// notify wakes the calls that wait for changes.
func (m *memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// set changes the store's faults.
func (m *memory) set(change func(m *memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
	m.notify()
}

func (m *memory) Commit(context.Context, store.Transaction) (uint64, error) {
	return 0, errors.ErrUnsupported
}

func (m *memory) List(ctx context.Context, _ string) ([]store.Row, uint64, error) {
	m.mu.Lock()
	m.calls++
	m.listings++
	unavailable, version := m.unavailable, m.version
	rows := make([]store.Row, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	m.mu.Unlock()
	if unavailable {
		return nil, 0, store.ErrUnavailable
	}
	return rows, version, m.respond(ctx)
}

// respond waits for the first byte of a response, reports it, and waits for the end.
func (m *memory) respond(ctx context.Context) error {
	m.mu.Lock()
	latency := m.latency
	m.mu.Unlock()
	if !wait.For(ctx, latency) {
		return ctx.Err()
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	m.mu.Lock()
	transfer := m.transfer
	m.mu.Unlock()
	if !wait.For(ctx, transfer) {
		return ctx.Err()
	}
	return nil
}

func (m *memory) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	limit, cancel := context.WithTimeout(ctx, wait+clientMargin)
	defer cancel()
	m.mu.Lock()
	m.calls++
	deaf := m.deaf
	m.mu.Unlock()
	for {
		select {
		case <-deaf:
			<-limit.Done()
			return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, limit.Err())
		default:
		}
		m.mu.Lock()
		unavailable, silent, changed, feedErr := m.unavailable, m.silent, m.changed, m.feedErr
		dropped := after < m.dropped || after > m.version
		var rows []store.Row
		for _, row := range m.history {
			if row.Version > after {
				rows = append(rows, row)
			}
		}
		version := m.version
		m.mu.Unlock()
		switch {
		case unavailable:
			return nil, 0, store.ErrUnavailable
		case feedErr != nil:
			if err := m.respond(ctx); err != nil {
				return nil, 0, err
			}
			return nil, 0, feedErr
		case dropped:
			return nil, 0, store.ErrHistoryLost
		case len(rows) > 0 && !silent:
			return rows, version, m.respond(ctx)
		}
		select {
		case <-changed:
		case <-deaf:
		case <-timer.C:
			return nil, version, m.respond(ctx)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// follow runs a test with a follower of a store that holds the row a. The clock is that of synctest.
func follow(t *testing.T, test func(m *memory, f *store.Follower), options ...store.Option) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		m := newMemory()
		m.put("a", "1")
		f := store.NewFollower(m, "t", nil, options...)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.Run(ctx) })
		if err := f.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		test(m, f)
		cancel()
		group.Wait()
	})
}

func value(f *store.Follower, key string) string { return string(f.Get(key).Value) }
