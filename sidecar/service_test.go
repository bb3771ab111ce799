package sidecar

import (
	"strings"
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
