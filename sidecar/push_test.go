package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sapphiretray/bubble"
	"sapphiretray/forward"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// slowLink serves the calls of a process to other instances, each of which takes a while.
type slowLink struct {
	took time.Duration
	// known returns the version of the rows that an instance has.
	known func(slot string) uint64
	// silent holds the slots of instances that don't respond.
	silent map[string]bool

	mu            sync.Mutex
	calls         map[string]int
	inFlight, max int
	// pushed holds the version of the row that each instance got last.
	pushed map[string]uint64
}

// RoundTrip implements http.RoundTripper. The host of the request is the slot of the instance.
func (l *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	slot := r.URL.Hostname()
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.calls[slot]++
	l.inFlight++
	l.max = max(l.max, l.inFlight)
	l.mu.Unlock()
	if l.silent[slot] {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(l.took)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	var response proto.Message = &peer.PushResponse{}
	var rows []store.Row
	if l.known == nil {
		var push peer.PushRequest
		if err := proto.Unmarshal(content, &push); err != nil {
			return nil, err
		}
		if err := json.Unmarshal(push.GetValue(), &rows); err != nil {
			return nil, err
		}
		l.pushed[slot] = rows[0].Version
	} else {
		if version := l.known(slot); version > 0 {
			rows = []store.Row{{Key: "row", Version: version}}
		}
		value, err := json.Marshal(rows)
		if err != nil {
			return nil, err
		}
		response = &peer.FetchResponse{Value: value, Version: l.known(slot)}
	}
	body, err := proto.Marshal(response)
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// newLinkedSidecar returns a process, in the first of three data centres, that knows of the given number of instances behind a link.
func newLinkedSidecar(t *testing.T, link *slowLink, instances int) *Sidecar {
	t.Helper()
	link.calls, link.pushed = make(map[string]int), make(map[string]uint64)
	sc := New(Settings{Slot: "10.0.0.0", Service: "books", DataCentre: "dc-0"}, Adapters{Store: &silentStore{}, ConfigTable: "op"})
	sc.dialer, sc.group = peer.NewDialer(link), &errgroup.Group{}
	for n := range instances {
		sc.directory.apply([]store.Row{linkedRecordRow(t, n, 1, uint64(n+1))})
	}
	return sc
}

// TestMapPushesAreBounded guards against a planner whose link is full of key maps that have been superseded: nothing else passes for
// seconds, and the requests of its callers get no answer in time.
func TestMapPushesAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const instances, maps = 31, 20
		link := &slowLink{took: 200 * time.Millisecond}
		sc := newLinkedSidecar(t, link, instances)
		var moves []keyspace.Move
		for n := range instances {
			moves = append(moves, keyspace.Move{To: member.NewIncarnation(fmt.Sprint("10.0.0.", n), 1)})
		}
		for n := range maps {
			sc.rows.Merge([]store.Row{{Key: keyspace.RowKey("books"), Version: uint64(100 + n)}})
			sc.pushMap(t.Context(), moves)
			time.Sleep(50 * time.Millisecond)
		}
		if err := sc.group.Wait(); err != nil {
			t.Error(err)
		}
		if link.max > maxPushes {
			t.Errorf("%d maps were sent at the same time, want at most %d", link.max, maxPushes)
		}
		if len(link.pushed) != instances-1 {
			t.Errorf("%d instances got a map, want %d", len(link.pushed), instances-1)
		}
		for slot, version := range link.pushed {
			if version != 100+maps-1 || link.calls[slot] > 3 {
				t.Errorf("%s got version %d last, in %d pushes", slot, version, link.calls[slot])
			}
		}
	})
}

// TestAnnouncedRowsComeFromReaders guards against all instances fetching a new key map from the planner, whose link they would fill: the
// readers of each data centre have it a moment later.
func TestAnnouncedRowsComeFromReaders(t *testing.T) {
	const announcer = "10.0.0.1"
	tests := []struct {
		name string
		// readers is when the readers have the rows, after the announcement.
		readers time.Duration
		within  time.Duration
		// asked is the number of calls to the announcer.
		asked int
		// silent is set if the readers don't respond.
		silent bool
	}{
		{"the readers have the rows", 0, 200 * time.Millisecond, 0, false},
		{"the readers are about to get the rows", 200 * time.Millisecond, 250 * time.Millisecond, 0, false},
		{"the readers don't get the rows", time.Hour, 300 * time.Millisecond, 1, false},
		{"the readers don't respond", time.Hour, 3 * time.Second, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				announced := time.Now()
				link := &slowLink{took: 5 * time.Millisecond, known: func(slot string) uint64 {
					if slot == announcer || time.Since(announced) >= test.readers {
						return 100
					}
					return 0
				}}
				sc := newLinkedSidecar(t, link, 13)
				link.silent = make(map[string]bool)
				if test.silent {
					// An instance that isn't a reader itself asks both of them.
					sc.settings.Slot = "10.0.0.12"
					for _, slot := range sc.readers() {
						link.silent[slot] = true
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { sc.fetchAnnounced(ctx) })
				sc.ObserveVersions(forward.Versions{Slot: announcer, Rows: 100})
				for sc.rows.Newest() < 100 && time.Since(announced) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if took := time.Since(announced); took > test.within {
					t.Errorf("the rows arrived after %v, want at most %v", took, test.within)
				}
				if got := link.calls[announcer]; got != test.asked {
					t.Errorf("the announcer was asked %d times, want %d", got, test.asked)
				}
				cancel()
				group.Wait()
			})
		})
	}
}
