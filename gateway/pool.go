package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// defaultIdleTimeout is assumed for an upstream that doesn't declare how long it keeps idle connections.
	defaultIdleTimeout = 10 * time.Second
	// maxIdle bounds the idle time of a connection that is reused for an idempotent request, maxIdleNonIdempotent for any other: if the
	// upstream has dropped the connection, a request that isn't idempotent can't be sent again.
	maxIdle              = 4 * time.Second
	maxIdleNonIdempotent = time.Second
	// restartSpan is the time within which all connections to a process that ends are found to be ended. New ones may be opened meanwhile.
	restartSpan = 100 * time.Millisecond
	// dialTimeout bounds the time to connect to the upstream, which is on the same machine.
	dialTimeout = 300 * time.Millisecond
)

// pool is the connection pool to the upstream.
type pool struct {
	address string
	// dial connects as net.Dialer.DialContext does.
	dial    DialFunc
	matches func(http.Header, string) bool
	group   *errgroup.Group
	// memory bounds the responses that are being read.
	memory *memory
	// onOpen is called for each new connection.
	onOpen func()

	mu   sync.Mutex
	idle []*conn
	// reading holds all connections whose readLoop is running.
	reading map[*conn]struct{}
	// lost is set if the upstream has ended a connection since the newest one was opened.
	lost bool
	// provenAt is the last time at which the upstream's process was known not to have been replaced.
	provenAt time.Time
	closed   bool
}

// get returns a connection for a request with the given id: the most recently used idle one, or a new one if none has been idle for at
// most idleLimit.
func (p *pool) get(ctx context.Context, id string, idleLimit time.Duration) (c *conn, reused bool, err error) {
	if c := p.takeIdle(time.Now(), id, idleLimit); c != nil {
		return c, true, nil
	}
	c, err = p.open(ctx)
	return c, false, err
}

// open returns a new connection.
func (p *pool) open(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to the upstream: %w", err)
	}
	p.onOpen()
	c := newConn(raw, p.matches, p.memory)
	if !p.add(c) {
		_ = raw.Close()
		return nil, errClosed
	}
	p.group.Go(func() error {
		c.readLoop()
		p.remove(c)
		return nil
	})
	return c, nil
}

func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.reading == nil {
		p.reading = make(map[*conn]struct{})
	}
	p.reading[c] = struct{}{}
	p.lost = false
	return true
}

// remove forgets a connection whose readLoop has returned.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, c)
	p.lost = p.lost || c.lost
	p.extendProof(c)
}

// prove records a time at which the upstream's process hadn't been replaced.
func (p *pool) prove(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.provenAt) {
		p.provenAt = at
	}
}

// proof reports whether the upstream's process can't have been replaced since prove was last called: connections that overlap have been
// open all the time. If it may have been, proof returns when that was still known.
func (p *pool) proof() (at time.Time, continuous bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.reading {
		if p.extendProof(c) {
			return p.provenAt, true
		}
	}
	return p.provenAt, false
}

// extendProof extends the proof until restartSpan before now if a connection, which is open or has just ended, was opened before the end of
// the proof. Otherwise it returns false. p.mu must be held.
func (p *pool) extendProof(c *conn) bool {
	if c.opened.After(p.provenAt) {
		return false
	}
	if at := time.Now().Add(-restartSpan); at.After(p.provenAt) {
		p.provenAt = at
	}
	return true
}

// connections returns the number of open connections, and whether the upstream has ended one since the newest was opened.
func (p *pool) connections() (open int, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reading), p.lost
}

// endedByUpstream reports whether a connection with the given error of its readLoop was ended by the upstream.
func endedByUpstream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// close closes all connections and the pool.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	reading := slices.Collect(maps.Keys(p.reading))
	p.mu.Unlock()
	for _, c := range reading {
		c.fail(errClosed)
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil if none is usable for a request with the given id.
func (p *pool) takeIdle(now time.Time, id string, idleLimit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if c.usable(now, idleLimit) && !c.hasRefused(id) {
			p.idle = append(p.idle[:n], p.idle[n+1:]...)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool after a complete response, or closes it if it must not be reused. It also closes those that have
// been idle for too long.
func (p *pool) put(c *conn) {
	if c.isFinished() {
		_ = c.Close()
		return
	}
	now := time.Now()
	p.closeIdleIf(func(other *conn) bool { return !other.usable(now, maxIdle) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// retire closes all idle connections, and keeps the others from being reused. Requests that follow one without a response then
// use connections on which no response to an earlier request can arrive.
func (p *pool) retire() {
	p.mu.Lock()
	for c := range p.reading {
		c.retire()
	}
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() { p.closeIdleIf(func(*conn) bool { return true }) }

// closeIdleIf closes the idle connections for which a function returns true.
func (p *pool) closeIdleIf(matches func(*conn) bool) {
	p.mu.Lock()
	var closing []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !matches(c) {
			return false
		}
		closing = append(closing, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range closing {
		c.fail(errClosed)
	}
}
