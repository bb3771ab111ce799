package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/gateway"
)

// TestEnterSilentLink guards against a request that is put on a link whose connections are being reset, because the link was found to be
// silent between the choice of the link and the request's entry.
func TestEnterSilentLink(t *testing.T) {
	l := links{transport: &http.Transport{}}
	silent, _ := l.get("a", time.Now())
	silent.leave(time.Time{})
	silent.mu.Lock()
	var request sync.WaitGroup
	var chosen *link
	request.Go(func() { chosen, _ = l.get("a", time.Now()) })
	// The request waits for mu now. If it doesn't yet, it finds the link silent.
	time.Sleep(50 * time.Millisecond)
	close(silent.silent)
	silent.reset()
	silent.mu.Unlock()
	request.Wait()
	if chosen == silent {
		t.Errorf("the request is one of %d on the silent link", silent.inFlight)
	}
	if chosen.inFlight != 1 {
		t.Errorf("%d requests on the link, want 1", chosen.inFlight)
	}
}

// TestEndedRequestIsNotInFlight guards against a request that is still counted as in flight when its outcome is known. The next one then
// was sent on a dead connection, because the one before counted neither as unanswered nor as the first since something was received.
func TestEndedRequestIsNotInFlight(t *testing.T) {
	dialing, fail := make(chan struct{}), make(chan struct{})
	var group errgroup.Group
	client := NewClient(&group, &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		close(dialing)
		<-fail
		return nil, errors.New("no route")
	}}, noVersions{})
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		if _, err := client.Do(t.Context(), "a", &gateway.Request{Deadline: time.Now().Add(time.Minute)}); err == nil {
			t.Error("the request has succeeded")
		}
		return nil
	})
	<-dialing
	// The client waits for the outcome by now. If it doesn't yet, it does once mu is free.
	time.Sleep(50 * time.Millisecond)
	l := client.links.byAddress["a"]
	l.mu.Lock()
	close(fail)
	select {
	case <-ended:
		t.Errorf("the request has ended with %d in flight", l.inFlight)
	case <-time.After(50 * time.Millisecond):
	}
	l.mu.Unlock()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if l.inFlight != 0 {
		t.Errorf("%d requests in flight at the end", l.inFlight)
	}
}

// TestUnansweredBesideOthers guards against a request that is sent on a dead connection after one that got no response there, because
// another one is still in flight, and against requests that wait for a probe although something was received.
func TestUnansweredBesideOthers(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name string
		// heard is when something was last received. A long request is sent at 0 and a short one at 2, which ends at 4, in steps.
		heard int
		want  linkState
	}{
		{"nothing received since the short request was sent", 1, linkUnanswered},
		{"something received since", 3, linkSound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			l := newLink("a", &http.Transport{})
			l.connections[&linkConn{}] = struct{}{}
			l.observe(start)
			l.enter(start)
			l.enter(start.Add(2 * step))
			l.observe(start.Add(time.Duration(test.heard) * step))
			l.leave(start.Add(2 * step))
			if _, state := l.enter(start.Add(4 * step)); state != test.want {
				t.Errorf("state %d for the next request, want %d", state, test.want)
			}
		})
	}
}

// TestUnsentRequestIsNotUnanswered guards against requests that wait for a probe because the one before, whose time was over before it was
// sent, counts as one without a response.
func TestUnsentRequestIsNotUnanswered(t *testing.T) {
	var group errgroup.Group
	client := NewClient(&group, &http.Transport{}, noVersions{})
	l, _ := client.links.get("a", time.Now())
	l.leave(time.Time{})
	l.connections[&linkConn{}] = struct{}{}
	l.observe(time.Now().Add(-silentAfter))
	// The request waits until its deadline for the probe in progress.
	l.probed = make(chan struct{})
	r := &gateway.Request{Deadline: time.Now().Add(2 * gateway.MinTimeLeft)}
	var failure *gateway.Failure
	if _, err := client.Do(t.Context(), "a", r); !errors.As(err, &failure) || failure.Code != code.TooLate {
		t.Errorf("the request ended with %v, want %v", err, code.TooLate)
	}
	if _, state := l.enter(time.Now()); state != linkStale {
		t.Errorf("state %d for the next request, want %d", state, linkStale)
	}
}

// noVersions exchanges no versions.
type noVersions struct{}

func (noVersions) Versions() Versions       { return Versions{} }
func (noVersions) ObserveVersions(Versions) {}
