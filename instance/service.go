package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// service answers the calls of other instances.
type service struct {
	peer.Unimplemented
	instance *Instance
}

var errNotJoined = twirp.NewError(twirp.Unavailable, "the instance has not joined yet")

// ConfirmExpiry answers a successor as a witness.
func (v *service) ConfirmExpiry(ctx context.Context, r *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	s := v.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.ConfirmExpiry(ctx, r)
}

// Reacquire votes as a witness.
func (v *service) Reacquire(ctx context.Context, r *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	s := v.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.Reacquire(ctx, r)
}

// Resign takes note, as a witness, that a holder has given up its lease.
func (v *service) Resign(ctx context.Context, r *peer.ResignRequest) (*peer.ResignResponse, error) {
	s := v.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.Resign(ctx, r)
}

// NotifyExpiry starts the takeover from an incarnation, once its witnesses confirm the expiry.
func (v *service) NotifyExpiry(_ context.Context, r *peer.NotifyExpiryRequest) (*peer.NotifyExpiryResponse, error) {
	if s := v.instance.session.Load(); s != nil {
		s.owned.NotifyExpiry(r.GetHolder().Member())
	}
	return &peer.NotifyExpiryResponse{}, nil
}

// Promise gives up a partition to a new owner.
func (v *service) Promise(ctx context.Context, r *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	s := v.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.owned.Promise(ctx, r)
}

// Fetch returns the rows that the other instance lacks.
func (v *service) Fetch(_ context.Context, r *peer.FetchRequest) (*peer.FetchResponse, error) {
	if kind := r.GetKind(); kind != "" {
		row := v.instance.rows.get(kind)
		return &peer.FetchResponse{Version: v.instance.acceptedVersion(kind), Value: row.Value}, nil
	}
	changes := v.instance.rows.after(r.GetHave())
	value, err := json.Marshal(changes)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.FetchResponse{Version: changes.Revision, Value: value}, nil
}

// Status returns the instance's state as JSON.
func (v *service) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	value, err := json.Marshal(v.instance.Status())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.StatusResponse{Json: value}, nil
}

// Events returns the events that were recorded after a sequence number.
func (v *service) Events(_ context.Context, r *peer.EventsRequest) (*peer.EventsResponse, error) {
	events, _ := v.instance.log.After(r.GetAfter())
	value, err := json.Marshal(events)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	last := r.GetAfter()
	if len(events) > 0 {
		last = events[len(events)-1].Sequence
	}
	return &peer.EventsResponse{Json: value, Last: last}, nil
}

// Quarantine takes over fingerprints of requests that crashed upstreams elsewhere.
func (v *service) Quarantine(_ context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond
	v.instance.quarantine.Learn(r.GetFingerprints(), remaining)
	v.instance.quarantine.LearnSuspects(r.GetSuspects(), remaining)
	return &peer.QuarantineResponse{}, nil
}

// dialSlot returns a client of the instance in a slot.
func (i *Instance) dialSlot(slot string) (peer.Peer, error) {
	record, ok := i.directory.slot(slot)
	if !ok {
		return nil, twirp.NotFoundError("slot " + slot + " is unknown")
	}
	return i.dialer.Dial(record.PeerAddress)
}

// dialMember returns a client of the slot of an incarnation; the receiver refuses calls that are meant for another one.
func (i *Instance) dialMember(m member.Incarnation) (peer.Peer, error) { return i.dialSlot(m.Slot()) }
