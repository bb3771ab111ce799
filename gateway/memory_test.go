package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// peakHeap returns the largest size of the heap in excess of that at the start while f runs, in bytes.
func peakHeap(f func()) uint64 {
	runtime.GC()
	size := func() uint64 {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	base, peak := size(), uint64(0)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				peak = max(peak, size())
				time.Sleep(time.Millisecond)
			}
		}
	})
	f()
	close(stop)
	group.Wait()
	return max(peak, base) - base
}

// stalled is an upstream whose responses consist of a prefix, in which ID stands for the request's id, and a rest, and don't end. release
// ends them.
type stalled struct {
	*rawUpstream
	// sent is the number of responses that were written as far as the gateway read them.
	sent    atomic.Int64
	release func()
}

func newStalled(t *testing.T, prefix, rest string) *stalled {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	content := []byte(rest)
	s := &stalled{release: cancel}
	s.rawUpstream = newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(prefix, "ID", id))
		_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		_, _ = conn.Write(content)
		s.sent.Add(1)
		<-ctx.Done()
	})
	t.Cleanup(cancel)
	return s
}

// faultyRequests is the number of requests that a large upstream runs at the same time.
const faultyRequests = 130

// checkPeak runs send in faultyRequests goroutines and checks how much memory they take when all responses have arrived.
func checkPeak(t *testing.T, u *stalled, send func(ctx context.Context, n int) error) {
	t.Helper()
	// The whole process may have 184 MB.
	const limit = 100 << 20
	ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
	defer cancel()
	var group sync.WaitGroup
	peak := peakHeap(func() {
		for n := range faultyRequests {
			group.Go(func() {
				if err := send(ctx, n); err == nil {
					t.Error("an incomplete response was passed on")
				}
			})
		}
		for stop := time.Now().Add(3 * time.Second); u.sent.Load() < faultyRequests && time.Now().Before(stop); {
			time.Sleep(10 * time.Millisecond)
		}
		// The gateway reads what the kernel holds.
		time.Sleep(200 * time.Millisecond)
	})
	if peak > limit {
		t.Errorf("%d responses, of which %d were sent, took %d bytes, limit %d", faultyRequests, u.sent.Load(), peak, limit)
	}
	cancel()
	u.release()
	group.Wait()
}

// TestMemoryOfFaultyResponses guards against the memory of many faulty responses at the same time, each of which is within its limits.
func TestMemoryOfFaultyResponses(t *testing.T) {
	fill := func(unit string, size int) string { return strings.Repeat(unit, size/len(unit)) }
	genuine := "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\n"
	longHead := "A: " + strings.Repeat("a", 200<<10) + "\r\n\r\n"
	tests := []struct{ name, prefix, rest string }{
		{"short header lines", genuine, fill("A: b\r\n", 255<<10)},
		{"header lines", genuine, fill("A: "+strings.Repeat("b", 100)+"\r\n", 255<<10)},
		{"different header lines", genuine, differentHeaders(255 << 10)},
		{"one header line", genuine + "A: ", fill("b", 255<<10)},
		{"body without length", genuine + "\r\n", fill("b", 4<<20)},
		{"body with a length", genuine + "Content-Length: 16000000\r\n\r\n", fill("b", 4<<20)},
		{"chunk", genuine + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", fill("b", 4<<20)},
		{"chunks", genuine + "Transfer-Encoding: chunked\r\n\r\n", fill("1\r\nb\r\n", 4<<20)},
		{"long head and body", genuine, longHead + fill("b", 4<<20)},
		{"many headers and body", genuine, differentHeaders(200<<10) + "\r\n" + fill("b", 4<<20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newStalled(t, test.prefix, test.rest)
			g := start(t, u.rawUpstream)
			register(t, g, u.rawUpstream, gateway.Registration{
				UpstreamRun: gateway.UpstreamRun{ID: "u", Started: 2000}, Slots: faultyRequests, Sequence: 1,
			})
			checkPeak(t, u, func(ctx context.Context, n int) error {
				r := request(fmt.Sprint("r", n), routing.Idempotent)
				r.Objective, r.Deadline = time.Now().Add(endlessDeadline), time.Now().Add(endlessDeadline)
				_, err := g.Do(ctx, r)
				return err
			})
		})
	}
}

// TestMemoryOfFaultyControlResponses guards against the memory of many faulty responses to control requests at the same time.
func TestMemoryOfFaultyControlResponses(t *testing.T) {
	tests := []struct{ name, prefix, rest string }{
		{"different header lines", "HTTP/1.1 200 OK\r\n", differentHeaders(255 << 10)},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 4<<20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newStalled(t, test.prefix, test.rest)
			g := start(t, u.rawUpstream)
			checkPeak(t, u, func(ctx context.Context, _ int) error {
				_, _, err := g.SendControlRequestOnce(ctx, gateway.ControlRequest{Method: http.MethodPost, Target: "/grant"})
				return err
			})
		})
	}
}

// TestManyEndlessControlResponses guards against connections or memory that remain after a series of endless responses to control requests
// and health checks.
func TestManyEndlessControlResponses(t *testing.T) {
	const rounds = 15
	var written, open atomic.Int64
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) {
		open.Add(1)
		defer open.Add(-1)
		writeForever(conn, "HTTP/1.1 200 OK\r\n", "A: b\r\n", &written)
	})
	g := start(t, u)
	ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
	defer cancel()
	peak := peakHeap(func() {
		for range rounds {
			if report, err := g.CheckHealth(ctx, "/health"); err == nil || ctx.Err() != nil {
				t.Errorf("health check: %+v, error %v", report, err)
			}
			_, _, err := g.SendControlRequest(ctx, func(bool) (gateway.ControlRequest, error) {
				return gateway.ControlRequest{Method: http.MethodPost, Target: "/grant", Body: []byte("{}")}, nil
			})
			if err == nil || ctx.Err() != nil {
				t.Errorf("control request: %v", err)
			}
		}
	})
	if limit := uint64(32 << 20); peak > limit {
		t.Errorf("%d responses in a row took %d bytes, limit %d", 2*rounds, peak, limit)
	}
	for stop := time.Now().Add(endlessDeadline); open.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("%d connections are still open", open.Load())
		}
	}
}

// differentHeaders returns header lines with different names.
func differentHeaders(size int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < size; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	return lines.String()
}
