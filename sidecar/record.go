package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"sapphiretray/member"
	"sapphiretray/store"
)

const (
	// maxCapacity is the largest capacity of an instance that is accepted; an upstream has a few concurrency slots.
	maxCapacity = 1 << 16
	// maxWitnesses is the largest number of witnesses of an instance that is accepted.
	maxWitnesses = 64
)

// decodeRecord parses and checks the record in the row of an instance, which another writer may have left there. It returns an error
// if the record doesn't name an instance that can be used.
func decodeRecord(row store.Row) (member.Record, error) {
	var r member.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return member.Record{}, fmt.Errorf("decode record: %w", err)
	}
	if slot, ok := strings.CutPrefix(row.Key, member.RowPrefix); !ok || slot != r.Incarnation.Slot() {
		return member.Record{}, fmt.Errorf("the record is of incarnation %s", r.Incarnation)
	}
	// Numbers of incarnations are at most the version of the row that registered them, see nextIncarnation.
	if number := r.Incarnation.Number(); number == 0 || number > row.Version {
		return member.Record{}, fmt.Errorf("incarnation number %d is out of range", number)
	}
	if r.Service == "" {
		return member.Record{}, errors.New("the record names no service")
	}
	if !canDial(r.PeerAddress) || !canDial(r.HeartbeatAddress) {
		return member.Record{}, fmt.Errorf("address %.100q or %.100q can't be dialled", r.PeerAddress, r.HeartbeatAddress)
	}
	if r.Capacity < 0 || r.Capacity > maxCapacity || r.UpstreamStarted < 0 || r.UpstreamLeft < 0 ||
		len(r.Witnesses) > maxWitnesses {
		return member.Record{}, fmt.Errorf("out of range: capacity %g, start %d or departure %d of the upstream, or %d witnesses",
			r.Capacity, r.UpstreamStarted, r.UpstreamLeft, len(r.Witnesses))
	}
	switch r.State {
	case member.Joining, member.Ready, member.Draining, member.Left, member.Revoked, member.Expired:
		return r, nil
	default:
		return member.Record{}, fmt.Errorf("unknown state %.100q", r.State)
	}
}

// canDial reports whether an address is the IP address and port of a machine.
func canDial(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}
