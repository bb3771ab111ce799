package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestConnectionEndsBeforeLongBody guards against reporting that a request may have run, of which no byte was sent because its kept
// connection ended before.
func TestConnectionEndsBeforeLongBody(t *testing.T) {
	client, server := net.Pipe()
	c := newConn(client, func(http.Header, string) bool { return true }, newMemory())
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(c.readLoop)
	group.Go(func() {
		_, _ = server.Read(make([]byte, readBufferSize))
		_, _ = server.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	})
	spawn := func(f func()) { group.Go(f) }
	if _, _, err := c.do(t.Context(), outgoing{id: "r1", method: http.MethodPost, head: []byte("head")}, spawn); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	defer close(ended)
	spawnLate := func(f func()) {
		_ = server.Close()
		group.Go(func() {
			<-ended
			f()
		})
	}
	body := make([]byte, readBufferSize+1)
	_, sent, err := c.do(t.Context(), outgoing{id: "r2", method: http.MethodPost, head: []byte("head"), body: body}, spawnLate)
	if err == nil || sent {
		t.Errorf("error %v, sent %v, want an error before a byte is sent", err, sent)
	}
}

// TestResponseBeforeEnd guards against dropping a response that arrived before its request's context ended.
func TestResponseBeforeEnd(t *testing.T) {
	for n := range 20 {
		client, server := net.Pipe()
		c := newConn(client, func(http.Header, string) bool { return true }, newMemory())
		var group sync.WaitGroup
		group.Go(c.readLoop)
		ctx, cancel := context.WithCancel(t.Context())
		// The response is delivered before the request is written, and the context ends then.
		spawn := func(func()) {
			_, _ = server.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			for c.isPending() {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}
		body := make([]byte, readBufferSize+1)
		response, _, err := c.do(ctx, outgoing{id: "r1", method: http.MethodPost, head: []byte("head"), body: body}, spawn)
		if err != nil || response.status != http.StatusOK {
			t.Errorf("request %d: %v", n, err)
		}
		_ = server.Close()
		group.Wait()
	}
}

// TestNoWriteAfterContext guards against a request that is written after its context has ended, or after its deadline if the timer of the
// context hasn't fired yet, as after a standstill of the process.
func TestNoWriteAfterContext(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{cancelled, passedDeadline{t.Context()}} {
		client, server := net.Pipe()
		c := newConn(client, func(http.Header, string) bool { return true }, newMemory())
		var group sync.WaitGroup
		group.Go(c.readLoop)
		var read int
		group.Go(func() { read, _ = server.Read(make([]byte, readBufferSize)) })
		_, sent, err := c.do(ctx, outgoing{id: "r1", method: http.MethodPost, head: []byte("head")}, func(f func()) { f() })
		_ = server.Close()
		group.Wait()
		if err == nil || sent || read > 0 {
			t.Errorf("error %v, sent %v, %d bytes", err, sent, read)
		}
	}
}

// passedDeadline is a context whose deadline has passed and that hasn't ended yet.
type passedDeadline struct{ context.Context }

// Deadline implements context.Context.
func (passedDeadline) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// isPending reports whether a request awaits its response.
func (c *conn) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}
