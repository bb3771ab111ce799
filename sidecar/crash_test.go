package sidecar

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
	"sapphiretray/peer"
)

// crashLink serves the calls of a process to one other instance. A call that starts before the time reachable fails in one of several ways.
type crashLink struct {
	handler   http.Handler
	reachable time.Time
	// refused makes calls fail at once, and lost makes them take effect without a response. Otherwise they get no response.
	refused, lost bool

	mu        sync.Mutex
	responded time.Time
}

// RoundTrip implements http.RoundTripper.
func (l *crashLink) RoundTrip(r *http.Request) (*http.Response, error) {
	failing := time.Now().Before(l.reachable)
	if failing && l.refused {
		return nil, errors.New("connection refused")
	}
	if failing && !l.lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	l.handler.ServeHTTP(w, r)
	if failing {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responded.IsZero() {
		l.responded = time.Now()
	}
	return w.Result(), nil
}

// TestCrashReportsArrive guards against instances that don't know of a crash because the call that reports it failed: a request that
// crashes upstreams would run at theirs too. An instance that has been reachable for 3 s has to know.
func TestCrashReportsArrive(t *testing.T) {
	const contact = 3 * time.Second
	for _, test := range []struct {
		name string
		// unreachable is for how long the calls fail.
		unreachable   time.Duration
		refused, lost bool
	}{
		{"reachable", 0, false, false},
		{"no response to the first call", 10 * time.Millisecond, false, false},
		{"first connection refused", 10 * time.Millisecond, true, false},
		{"response lost", 10 * time.Millisecond, false, true},
		{"responses lost for a while", 5 * time.Second, false, true},
		{"no response for a while", 10 * time.Second, false, false},
		{"refused for a while", 10 * time.Second, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				other := New(Settings{Slot: "10.0.0.1", Service: "books"}, Adapters{Store: &silentStore{}, ConfigTable: "op"})
				other.gateway = gateway.New(new(errgroup.Group), "books", "", struct{ gateway.Protocol }{})
				link := &crashLink{
					handler: peer.NewHandler(&peerService{sidecar: other}), reachable: time.Now().Add(test.unreachable),
					refused: test.refused, lost: test.lost,
				}
				sc := newLinkedSidecar(t, &slowLink{}, 2)
				sc.dialer = peer.NewDialer(link)
				ctx, cancel := context.WithCancel(t.Context())
				sc.broadcastCrash(ctx, []uint64{1})
				time.Sleep(test.unreachable + contact)
				link.mu.Lock()
				if link.responded.IsZero() {
					t.Errorf("the crash wasn't reported within %v", contact)
				}
				link.mu.Unlock()
				cancel()
				if err := sc.group.Wait(); err != nil {
					t.Error(err)
				}
				// The report counts as one crash, however often it was received.
				if other.gateway.IsQuarantined(1) {
					t.Error("quarantined after one crash")
				}
				for range 2 {
					sc.broadcastCrash(t.Context(), []uint64{1})
				}
				if err := sc.group.Wait(); err != nil {
					t.Error(err)
				}
				if !other.gateway.IsQuarantined(1) {
					t.Error("not quarantined after three crashes")
				}
			})
		})
	}
}

// TestCrashReportsEndWithProcess guards against a process that can't stop while an instance doesn't respond to a crash report.
func TestCrashReportsEndWithProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := newLinkedSidecar(t, &slowLink{}, 2)
		sc.dialer = peer.NewDialer(&crashLink{reachable: time.Now().Add(time.Hour)})
		ctx, cancel := context.WithCancel(t.Context())
		sc.broadcastCrash(ctx, []uint64{1})
		time.Sleep(2 * time.Second)
		cancel()
		stopped := time.Now()
		if err := sc.group.Wait(); err != nil {
			t.Error(err)
		}
		if took := time.Since(stopped); took > crashTimeout {
			t.Errorf("ended after %v, want at most %v", took, crashTimeout)
		}
	})
}
