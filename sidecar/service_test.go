package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// newPeerService returns the peer service of a process with a copy of the rows, which isn't updated from a store.
func newPeerService() *peerService {
	sc := &Sidecar{directory: newDirectory("slot-0"), wake: make(chan struct{}, 1)}
	sc.rows = store.NewFollower(nil, TableName, sc.applyRows)
	return &peerService{sidecar: sc}
}

// TestOddRowsFromPeer guards against rows of a peer that are refused as a whole because one of them is odd in the store.
func TestOddRowsFromPeer(t *testing.T) {
	from, to := newPeerService(), newPeerService()
	good := recordRow(t, goodRecord(), 5)
	from.sidecar.rows.Merge([]store.Row{
		{Key: member.RowKey("slot-1"), Value: []byte(strings.Repeat("[", 200000)), Version: 6},
		{Key: member.RowKey("slot-2"), Version: 7},
		good,
		{Key: "\u2028<\x00", Value: []byte("\xff\x00"), Version: 8},
		{Key: keyspace.RowKey("bookings"), Value: []byte("\xff\x00"), Version: 9},
	})
	response, err := from.Fetch(t.Context(), &peer.FetchRequest{Kind: TableName})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Push(t.Context(), &peer.PushRequest{Kind: TableName, Value: response.GetValue()}); err != nil {
		t.Fatal(err)
	}
	for _, row := range from.sidecar.rows.RowsAfter(0) {
		if got := to.sidecar.rows.Get(row.Key); got.Version != row.Version || string(got.Value) != string(row.Value) {
			t.Errorf("key %q: version %d, %d bytes", row.Key, got.Version, len(got.Value))
		}
	}
	if r, ok := to.sidecar.directory.record("slot-3"); !ok || r.Name != "good" || to.sidecar.directory.size() != 1 {
		t.Errorf("%d records, %+v", to.sidecar.directory.size(), r)
	}
}

// serverLink serves the calls of a process with the peer service of another one.
type serverLink struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (l serverLink) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// TestFetchAfterListing guards against a process that counts as complete because it fetched rows from another one that listed the table
// after a row was removed: the listing doesn't tell which one. It also guards against calls to the store although the other one has all
// changes.
func TestFetchAfterListing(t *testing.T) {
	tests := []struct {
		name string
		// listed and peerListed are the versions of the listings of the process and of the other one.
		listed, peerListed uint64
		wantAll            bool
		wantVersion        uint64
	}{
		{"listed later by the other one", 20, 30, false, 20},
		{"listed by both at once", 30, 30, true, 30},
		{"listed earlier by the other one", 40, 30, true, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := goodRecord()
			r.DataCentre = "dc-0"
			row := recordRow(t, r, 5)
			gone := member.RowKey("slot-7")
			testPlanner(t, test.listed, []store.Row{row, {Key: gone, Value: []byte("{}"), Version: 6}}, func(p plannerTest) {
				other := newPeerService()
				other.sidecar.rows = store.NewFollower(listedStore{rows: []store.Row{row}, version: test.peerListed}, TableName, nil)
				ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
				var group sync.WaitGroup
				group.Go(func() { other.sidecar.rows.Run(ctx) })
				if err := other.sidecar.rows.Wait(ctx); err != nil {
					t.Error(err)
				}
				p.sc.dialer = peer.NewDialer(serverLink{peer.NewPeerServer(other)})
				if all := p.sc.fetchFromReader(ctx, p.sc.rows); all != test.wantAll {
					t.Errorf("all changes fetched: %v, want %v", all, test.wantAll)
				}
				if got := p.sc.rows.Version(); got != test.wantVersion {
					t.Errorf("complete up to %d with row %d of %s, want %d", got, p.sc.rows.Get(gone).Version, gone, test.wantVersion)
				}
				cancel()
				group.Wait()
			})
		})
	}
}

// FuzzPush guards against rows of a peer that end the process.
func FuzzPush(f *testing.F) {
	f.Add([]byte(`[{"Key":"slot/slot-3","Value":"e30=","Version":18446744073709551615},{"Key":"map/bookings","Value":"AP8=","Version":9}]`))
	f.Add([]byte(`[{"Key":"map/bookings","Version":3,"Deleted":true},{"Key":3}]`))
	f.Add([]byte(`[[[[[[`))
	f.Fuzz(func(t *testing.T, content []byte) {
		s := newPeerService()
		_, _ = s.Push(t.Context(), &peer.PushRequest{Kind: TableName, Value: content})
		if newest := s.sidecar.rows.Newest(); newest > store.MaxVersion {
			t.Errorf("newest version %d", newest)
		}
	})
}
