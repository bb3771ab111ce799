package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/policy"
	"sapphiretray/routing"
)

const (
	// coldTime is how long the upstream of these tests is cold after a start. It bears coldBound requests within any second then.
	coldTime  = 3 * time.Second
	coldBound = 15
	// coldHealthPath is the path of its health check.
	coldHealthPath = "/health"
)

// coldRig is a gateway to an upstream that may be cold, on a network in memory.
type coldRig struct {
	t       *testing.T
	network *fake.Network
	gateway *gateway.Gateway
	cold    fake.ColdLimit
	// exceeded counts the requests that the upstream didn't bear, and checks the health checks.
	exceeded, checks atomic.Int64
	// unconfigured makes the gateway have no terms for cold upstreams.
	unconfigured atomic.Bool
	// terms, if not nil, replace the usual ones.
	terms atomic.Pointer[policy.StartTerms]
	// misdirects makes the upstream refuse all requests as meant for another one.
	misdirects atomic.Bool
	upstream   *rawUpstream
	sequence   uint64
}

func newColdRig(t *testing.T) *coldRig {
	t.Helper()
	rig := &coldRig{t: t, network: new(fake.Network)}
	listener, err := rig.network.Listen("127.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	rig.upstream = serveRaw(rig.t, listener, rig.respond)
	rig.gateway = start(t, rig.upstream, gateway.WithDial(rig.network.DialContext), gateway.WithColdTerms(func() gateway.ColdTerms {
		if rig.unconfigured.Load() {
			return gateway.ColdTerms{}
		}
		starts := policy.NewStartTerms(5, 1.5, 7.5)
		if terms := rig.terms.Load(); terms != nil {
			starts = *terms
		}
		return gateway.ColdTerms{Starts: starts, Duration: coldTime, HealthPath: coldHealthPath}
	}))
	rig.heartbeat(2001, 0)
	return rig
}

func (rig *coldRig) respond(conn net.Conn, r *http.Request, id string, _ int64) {
	if rig.misdirects.Load() {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected\r\n"+headerID+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if !rig.cold.Arrive() {
		rig.exceeded.Add(1)
	}
	if r.URL.Path == coldHealthPath {
		rig.checks.Add(1)
		cold := ""
		if left := rig.cold.Remaining(); left > 0 {
			cold = headerCold + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+cold+"Content-Length: 0\r\n\r\n")
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(conn, ok(id, id))
}

// heartbeat sends a heartbeat of a run of the upstream.
func (rig *coldRig) heartbeat(started int64, coldFor time.Duration) {
	rig.t.Helper()
	rig.sequence++
	register(rig.t, rig.gateway, rig.upstream, gateway.Registration{
		UpstreamRun: gateway.UpstreamRun{ID: "upstream-1", Started: started}, Slots: 8, Sequence: rig.sequence, ColdFor: coldFor,
	})
}

// load sends requests for d, 40 per second and every fifth with a key, and returns the numbers of those that were served and refused.
func (rig *coldRig) load(d time.Duration) (served, refused int64) {
	rig.t.Helper()
	var group errgroup.Group
	var ok, shed atomic.Int64
	for n := range int(d / (25 * time.Millisecond)) {
		time.Sleep(25 * time.Millisecond)
		group.Go(func() error {
			r := request(fmt.Sprint(time.Now().UnixNano()), routing.Idempotent)
			if r.Nested = n%3 == 0; n%5 == 0 {
				r.Key = n
			}
			_, err := rig.gateway.Do(rig.t.Context(), r)
			var f *gateway.Failure
			switch {
			case err == nil:
				ok.Add(1)
			case errors.As(err, &f) && f.Code == code.Shed && f.RetryAfter > 0:
				shed.Add(1)
			case !errors.As(err, &f) || f.Code != code.UpstreamFailed && f.Code != code.NotOwner:
				rig.t.Errorf("request: %v", err)
			}
			return nil
		})
	}
	_ = group.Wait()
	return ok.Load(), shed.Load()
}

func (rig *coldRig) resetConns() {
	for _, c := range rig.network.Conns() {
		c.Reset()
	}
}

// restart ends all connections of the upstream, as the end of its process does, and makes it cold.
func (rig *coldRig) restart() {
	rig.resetConns()
	rig.cold.Start(coldTime, coldBound)
}

// TestColdUpstream guards against more requests within any second than a cold upstream bears, for each way in which it becomes cold, and
// against a limit that stays once it is warm. The load is "one upstream restarts under full load".
func TestColdUpstream(t *testing.T) {
	tests := []struct {
		name string
		// before happens a second after the start of the load.
		before func(rig *coldRig)
		// checks is the number of health checks that are sent.
		checks int64
	}{
		{"new run", func(rig *coldRig) {
			rig.restart()
			rig.heartbeat(2002, coldTime)
		}, 0},
		{"again cold", func(rig *coldRig) {
			rig.cold.Start(coldTime, coldBound)
			rig.heartbeat(2001, coldTime)
		}, 0},
		{"configuration after the heartbeat", func(rig *coldRig) {
			rig.unconfigured.Store(true)
			rig.restart()
			rig.heartbeat(2002, coldTime)
			rig.unconfigured.Store(false)
		}, 0},
		{"restart without a heartbeat", func(rig *coldRig) { rig.restart() }, 1},
		{"connections end one after another", func(rig *coldRig) {
			var group errgroup.Group
			send := func(n int) {
				group.Go(func() error {
					_, _ = rig.gateway.Do(rig.t.Context(), request(fmt.Sprint("parallel", n), routing.Idempotent))
					return nil
				})
			}
			for n := range 6 {
				send(n)
			}
			_ = group.Wait()
			rig.cold.Start(coldTime, coldBound)
			for n, c := range rig.network.Conns() {
				c.Reset()
				send(6 + n)
				time.Sleep(2 * time.Millisecond)
			}
			_ = group.Wait()
		}, 1},
		{"heartbeat after the restart is late", func(rig *coldRig) {
			rig.restart()
			rig.load(500 * time.Millisecond)
			rig.heartbeat(2002, coldTime-500*time.Millisecond)
		}, 1},
		{"heartbeat of the run before arrives late", func(rig *coldRig) {
			rig.restart()
			rig.load(400 * time.Millisecond)
			rig.heartbeat(2001, 0)
		}, 1},
		{"refused connections first", func(rig *coldRig) {
			rig.restart()
			_ = rig.upstream.listener.Close()
			time.Sleep(100 * time.Millisecond)
			_, _ = rig.gateway.Do(rig.t.Context(), request("refused", routing.Idempotent))
			listener, err := rig.network.Listen("127.0.0.1:80")
			if err != nil {
				rig.t.Fatal(err)
			}
			rig.upstream = serveRaw(rig.t, listener, rig.respond)
			rig.cold.Start(coldTime, coldBound)
			rig.heartbeat(2002, coldTime)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				rig := newColdRig(t)
				if served, refused := rig.load(time.Second); served != 40 || refused > 0 {
					t.Errorf("warm: %d requests served and %d refused, want 40 and 0", served, refused)
				}
				rig.checks.Store(0)
				test.before(rig)
				served, refused := rig.load(2 * time.Second)
				if rig.exceeded.Load() > 0 {
					t.Errorf("%d requests within a second, the upstream bears %d", rig.cold.Most(), coldBound)
				}
				if served < 12 || refused == 0 {
					t.Errorf("cold for 2 s: %d requests served and %d refused", served, refused)
				}
				if got := rig.checks.Load(); got != test.checks {
					t.Errorf("%d health checks, want %d", got, test.checks)
				}
				time.Sleep(rig.cold.Remaining() + time.Second)
				rig.heartbeat(2002, 0)
				if served, refused := rig.load(time.Second); served != 40 || refused > 0 {
					t.Errorf("warm again: %d requests served and %d refused, want 40 and 0", served, refused)
				}
			})
		})
	}
}

// TestSuspectedCold guards against an upstream that is limited for long because its connections ended or its heartbeats are overdue,
// although it isn't cold, and against health checks without end.
func TestSuspectedCold(t *testing.T) {
	tests := []struct {
		name    string
		happens func(rig *coldRig)
	}{
		{"idle", func(rig *coldRig) {
			for range 6 {
				time.Sleep(2 * time.Second)
				rig.heartbeat(2001, 0)
			}
			rig.resetConns()
		}},
		{"connections ended", func(rig *coldRig) { rig.resetConns() }},
		{"heartbeats overdue", func(*coldRig) { time.Sleep(3 * time.Second) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				rig := newColdRig(t)
				rig.load(time.Second)
				rig.checks.Store(0)
				test.happens(rig)
				served, refused := rig.load(2 * time.Second)
				if refused > 4 || served < 70 {
					t.Errorf("%d requests served and %d refused in 2 s", served, refused)
				}
				if got := rig.checks.Load(); got != 1 {
					t.Errorf("%d health checks, want 1", got)
				}
			})
		})
	}
}

// TestColdAfterProcessRestart guards against a process that sends a cold upstream a full burst right after an earlier process has done so.
func TestColdAfterProcessRestart(t *testing.T) {
	tests := []struct {
		name string
		// since is how long the upstream has been cold when the process starts.
		since time.Duration
		// most is the largest number of requests in the first 900 ms: 14, less what the earlier process may have sent.
		most int64
	}{
		{"cold before", 500 * time.Millisecond, 7},
		{"cold long before", 2 * time.Second, 0},
		{"started later", 0, 11},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				rig := newColdRig(t)
				rig.heartbeat(2002, coldTime-test.since)
				var early atomic.Int64
				time.AfterFunc(900*time.Millisecond, func() { early.Store(rig.upstream.requests.Load()) })
				rig.load(time.Second)
				if got := early.Load(); got > test.most || got < test.most-1 {
					t.Errorf("%d requests arrived in the first 900 ms, want up to %d", got, test.most)
				}
			})
		})
	}
}

// TestColdTermsChange guards against a limit that keeps the terms of an earlier configuration.
func TestColdTermsChange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		rig := newColdRig(t)
		rig.heartbeat(2002, coldTime)
		rig.terms.Store(&policy.StartTerms{Rate: 2, Burst: 1, Maximum: 14})
		if served, _ := rig.load(time.Second); served > 4 || served < 2 {
			t.Errorf("%d requests served in a second at 2 per second", served)
		}
		rig.terms.Store(&policy.StartTerms{})
		if served, refused := rig.load(time.Second); served != 40 || refused > 0 {
			t.Errorf("without terms: %d requests served and %d refused, want 40 and 0", served, refused)
		}
	})
}

// TestMisdirectedDontCount guards against a limit that counts requests which the upstream refuses as meant for another one.
func TestMisdirectedDontCount(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		rig := newColdRig(t)
		rig.heartbeat(2002, coldTime)
		rig.misdirects.Store(true)
		if _, refused := rig.load(time.Second); refused > 0 {
			t.Errorf("%d requests were refused", refused)
		}
	})
}

// TestAbsurdColdTime guards against a cold time that can't be true and replaces the last one.
func TestAbsurdColdTime(t *testing.T) {
	for _, absurd := range []time.Duration{-time.Second, time.Hour} {
		bubble.Test(t, func(t *testing.T) {
			rig := newColdRig(t)
			rig.heartbeat(2002, coldTime)
			rig.heartbeat(2002, absurd)
			if got := rig.gateway.ColdFor(); got != coldTime {
				t.Errorf("cold for %v after %v, want %v", got, absurd, coldTime)
			}
		})
	}
}
