// Package member describes the instances of a deployment: their slots, their incarnations and their records, which are rows in the
// table service or, with package sidecar, in its store. A slot in this package is the lasting name of an instance, not one of the
// concurrency slots of an upstream.
package member

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one run of an instance's process in a slot, which is the lasting name of an instance. The zero value
// identifies none.
type Incarnation struct {
	slot   string
	number uint64
}

// NewIncarnation returns the incarnation with the given number in a slot.
func NewIncarnation(slot string, number uint64) Incarnation {
	return Incarnation{slot: slot, number: number}
}

// Slot returns the name of the slot.
func (i Incarnation) Slot() string { return i.slot }

// Number returns the incarnation's number, which isn't 0 and grows with each run in the slot.
func (i Incarnation) Number() uint64 { return i.number }

// IsZero reports whether i is the zero value.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// String returns the form "north-1#7", and "none" for the zero value.
func (i Incarnation) String() string {
	if i.IsZero() {
		return "none"
	}
	return i.slot + "#" + strconv.FormatUint(i.number, 10)
}

// ParseIncarnation parses the form "north-1#7" that String returns. An empty slot and the number 0 are errors.
func ParseIncarnation(text string) (Incarnation, error) {
	slot, number, ok := strings.Cut(text, "#")
	if !ok || slot == "" {
		return Incarnation{}, fmt.Errorf("incarnation %q: want slot#number", text)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || n == 0 {
		return Incarnation{}, fmt.Errorf("incarnation %q: the number must be a positive integer", text)
	}
	return Incarnation{slot: slot, number: n}, nil
}

// MarshalText encodes i as in String; the zero value yields an empty text.
func (i Incarnation) MarshalText() ([]byte, error) {
	if i.IsZero() {
		return []byte{}, nil
	}
	return []byte(i.String()), nil
}

// UnmarshalText decodes the form of MarshalText.
func (i *Incarnation) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*i = Incarnation{}
		return nil
	}
	parsed, err := ParseIncarnation(string(text))
	if err != nil {
		return err
	}
	*i = parsed
	return nil
}

// State is the state of an incarnation as its record gives it.
type State string

// The states of a record.
const (
	// Joining means that the incarnation's first lease isn't valid yet.
	Joining State = "joining"
	// Ready means that partitions or keys may be assigned to the incarnation.
	Ready State = "ready"
	// Draining means that what is assigned to the incarnation is being moved to others.
	Draining State = "draining"
	// Left means that the incarnation has stopped and serves nothing.
	Left State = "left"
	// Revoked means that others can't ask enough of the witnesses whether the lease has expired. An incarnation that runs writes its record
	// again. Otherwise its lease ends once it isn't backed any more; see witness.RevocationProof.
	Revoked State = "revoked"
	// Expired means that the lease was proved to have expired. It can't be re-acquired.
	Expired State = "expired"
)

// Ended reports whether an incarnation in this state never serves again.
func (s State) Ended() bool { return s == Left || s == Expired }

// Record is an incarnation's row in the table service or store, under the key "slot/<slot>".
type Record struct {
	Incarnation Incarnation `json:"incarnation"`
	Service     string      `json:"service"`
	DataCentre  string      `json:"data_centre"`
	// Region groups data centres; the owner and the successors of a partition are in one region.
	Region string `json:"region,omitempty"`
	// PeerAddress is the host:port for calls and forwarded requests between instances (TCP).
	PeerAddress string `json:"peer_address"`
	// HeartbeatAddress is the host:port for heartbeats (UDP).
	HeartbeatAddress string `json:"heartbeat_address"`
	// CallerAddress is the host:port for callers.
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the host:port for metrics and status.
	AdminAddress string `json:"admin_address,omitempty"`
	// Capacity is the instance's share of the load, relative to the other instances of the service.
	Capacity float64 `json:"capacity"`
	// Processor is the processor time that the instance has, in cores; 0 if it isn't known.
	Processor float64 `json:"processor,omitempty"`
	// Name is the machine's display name.
	Name string `json:"name,omitempty"`
	// Upstream is the id of the instance's local upstream; empty if none has registered.
	Upstream string `json:"upstream,omitempty"`
	// UpstreamStarted is the start time of the upstream in milliseconds since 1970, or 0 if it isn't known.
	UpstreamStarted int64 `json:"upstream_started,omitempty"`
	// UpstreamLeft is when the upstream announced that it leaves, in milliseconds since 1970 by the clock of its machine; 0 if it hasn't.
	UpstreamLeft int64 `json:"upstream_left,omitempty"`
	// Revocable means that the incarnation's lease ends for good once it isn't backed any more, so that it may be revoked.
	Revocable bool `json:"revocable,omitempty"`
	// Witnesses are the slots that witness this incarnation's lease.
	Witnesses []string `json:"witnesses"`
	State     State    `json:"state"`
}

// RowPrefix is the prefix of the table keys of records.
const RowPrefix = "slot/"

// RowKey returns the table key of a slot's record.
func RowKey(slot string) string { return RowPrefix + slot }
