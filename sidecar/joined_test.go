package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphiretray/bubble"
	"sapphiretray/grant"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// confirmingWitnesses serves the calls of a process to witnesses, which confirm the expiry of any lease.
type confirmingWitnesses struct{}

// RoundTrip implements http.RoundTripper. The host of the request is the slot of the witness.
func (confirmingWitnesses) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := proto.Marshal(&peer.ConfirmExpiryResponse{Witness: r.URL.Hostname(), Expired: true})
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// TestProofAwaitsEarlierGrants guards against a proof of the expiry of an incarnation that has only just joined, and perhaps never had a
// lease, while grants of the one before it in the slot are in force. It also guards against a delay of other takeovers.
func TestProofAwaitsEarlierGrants(t *testing.T) {
	const holds = grant.MaxHeld
	witnessed := func(number, version uint64) store.Row {
		row := linkedRecordRow(t, 1, number, version)
		row.Value = bytes.Replace(row.Value, []byte(`"witnesses":null`), []byte(`"witnesses":["10.0.0.2","10.0.0.3","10.0.0.4"]`), 1)
		return row
	}
	joins := func(sc *Sidecar) { sc.rows.Merge([]store.Row{witnessed(7, 8)}) }
	tests := []struct {
		name string
		// events happen before the proof of an incarnation.
		events  func(sc *Sidecar)
		number  uint64
		timeout time.Duration
		proved  bool
		took    time.Duration
	}{
		{"known for long", func(*Sidecar) {}, 2, time.Minute, true, 0},
		{"another state since", func(sc *Sidecar) { sc.rows.Merge([]store.Row{witnessed(2, 8)}) }, 2, time.Minute, true, 0},
		{"replaced just now", joins, 2, time.Minute, true, 0},
		{"joined just now", joins, 7, time.Minute, true, holds},
		{"joined a second ago", func(sc *Sidecar) {
			joins(sc)
			time.Sleep(time.Second)
		}, 7, time.Minute, true, holds - time.Second},
		{"joined and changed its state just now", func(sc *Sidecar) {
			sc.rows.Merge([]store.Row{witnessed(7, 8), witnessed(7, 9)})
		}, 7, time.Minute, true, holds},
		{"joined and was replaced just now", func(sc *Sidecar) {
			sc.rows.Merge([]store.Row{witnessed(7, 8), witnessed(9, 9)})
		}, 7, time.Minute, true, holds},
		{"the claim ends first", joins, 7, time.Second, false, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sc := newLinkedSidecar(t, &slowLink{}, 5)
				sc.dialer = peer.NewDialer(confirmingWitnesses{})
				sc.rows.Merge([]store.Row{witnessed(2, 6)})
				time.Sleep(time.Minute)
				test.events(sc)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				started := time.Now()
				proved, err := sc.ProveExpired(ctx, member.NewIncarnation("10.0.0.1", test.number))
				if took := time.Since(started); proved != test.proved || (err == nil) != test.proved || took != test.took {
					t.Errorf("proved %v, error %v after %v; want %v after %v", proved, err, took, test.proved, test.took)
				}
			})
		})
	}
}
