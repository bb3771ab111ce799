package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphiretray/bubble"
	"sapphiretray/forward"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/routing"
	"sapphiretray/store"
	"sapphiretray/wait"
)

// silentStore is a store that lists the first configuration once and doesn't respond to later calls.
type silentStore struct {
	store.Store
	listed sync.Once
}

func (s *silentStore) List(ctx context.Context, _ string) (rows []store.Row, version uint64, err error) {
	s.listed.Do(func() { rows, version = []store.Row{{Key: "config", Version: 1, Value: []byte("1")}}, 1 })
	if version > 0 {
		return rows, version, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (*silentStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]store.Row, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// peers serves the calls to other instances. Those with configuration 2 transfer it within the given time and respond to probes at once,
// the others don't respond.
type peers struct {
	delays map[string]time.Duration
}

// allBut returns peers of which all have the configuration except those in some slots.
func allBut(transfer time.Duration, silent ...string) peers {
	p := peers{make(map[string]time.Duration)}
	for n := range 9 {
		if slot := fmt.Sprint("10.0.0.", n); !slices.Contains(silent, slot) {
			p.delays[slot] = transfer
		}
	}
	return p
}

// RoundTrip implements http.RoundTripper. The host of the request is the slot of the instance.
func (p peers) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	delay, ok := p.delays[r.URL.Hostname()]
	if !ok {
		delay = time.Hour
	} else if r.Method == http.MethodGet {
		delay = 5 * time.Millisecond
	}
	if !wait.For(r.Context(), delay) {
		return nil, r.Context().Err()
	}
	value, err := json.Marshal([]store.Row{{Key: "config", Version: 2, Value: []byte("2")}})
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(&peer.FetchResponse{Value: value, Version: 2})
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// TestConfigFetch guards against an instance that keeps an old configuration, while the store doesn't respond, because it forgets an
// announcement, asks instances that don't respond before those that have announced it, or repeats a transfer that takes longer than its
// timeout.
func TestConfigFetch(t *testing.T) {
	const (
		bound = 2 * time.Second
		// announceDelay is the time from the write of a configuration to its announcement by other instances.
		announceDelay = 350 * time.Millisecond
		transfer      = 350 * time.Millisecond
	)
	tests := []struct {
		name   string
		peers  peers
		within time.Duration
		// announcers have the slots that announce the configuration once, in order.
		announcers []string
		// rows is the announced version of the rows; every instance lacks them.
		rows uint64
	}{
		{"one announcement", peers{map[string]time.Duration{"10.0.0.1": transfer}}, bound, []string{"10.0.0.1"}, 0},
		{"newer rows are announced too", peers{map[string]time.Duration{"10.0.0.1": transfer}}, bound, []string{"10.0.0.1"}, 100},
		// Slot 3 is in the local data centre.
		{"an announcer doesn't respond", peers{map[string]time.Duration{"10.0.0.1": transfer}}, bound, []string{"10.0.0.3", "10.0.0.1"}, 0},
		{"the only announcer doesn't respond", allBut(transfer, "10.0.0.3"), bound, []string{"10.0.0.3"}, 0},
		{
			"three announcers don't respond",
			peers{map[string]time.Duration{"10.0.0.1": transfer}},
			bound,
			[]string{"10.0.0.3", "10.0.0.6", "10.0.0.2", "10.0.0.1"},
			0,
		},
		{
			"no announcer responds", allBut(transfer, "10.0.0.3", "10.0.0.6", "10.0.0.2"), bound,
			[]string{"10.0.0.3", "10.0.0.6", "10.0.0.2"},
			0,
		},
		// The transfer takes most of the bound, so only a fetch without end is a failure.
		{"slow transfer", peers{map[string]time.Duration{"10.0.0.1": 1500 * time.Millisecond}}, 10 * time.Second, []string{"10.0.0.1"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sc := New(Settings{Slot: "10.0.0.0", DataCentre: "dc-0"}, Adapters{
					Store: &silentStore{}, ConfigTable: "op", ConfigKey: "config",
					DecodeConfig: func(content []byte) (*routing.Table, error) {
						return routing.New(uint64(content[0]-'0'), routing.Limits{}, nil, nil)
					},
				})
				sc.dialer = peer.NewDialer(test.peers)
				for n := range 9 {
					slot := fmt.Sprint("10.0.0.", n)
					value, err := json.Marshal(member.Record{
						Incarnation: member.NewIncarnation(slot, 1), Service: "books", DataCentre: fmt.Sprint("dc-", n%3),
						PeerAddress: slot + ":1", HeartbeatAddress: slot + ":2",
						State: member.Ready,
					})
					if err != nil {
						t.Fatal(err)
					}
					sc.directory.apply([]store.Row{{Key: member.RowKey(slot), Value: value, Version: uint64(n + 1)}})
				}
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				for _, task := range []func(context.Context){sc.config.Run, sc.fetchAnnounced, sc.fetchConfig} {
					group.Go(func() { task(ctx) })
				}
				time.Sleep(5 * time.Second)
				written := time.Now()
				time.Sleep(announceDelay)
				for _, slot := range test.announcers {
					sc.ObserveVersions(forward.Versions{Slot: slot, Config: 2, Rows: test.rows})
				}
				for sc.routes.Load().Version() < 2 && time.Since(written) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(written); took > test.within {
					t.Errorf("the configuration is in effect after %v, want at most %v", took, test.within)
				}
				cancel()
				group.Wait()
			})
		})
	}
}
