package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// peerService implements the calls of the peer protocol that other instances make.
type peerService struct {
	peer.Unimplemented
	instance *Instance
}

var errNotJoined = twirp.NewError(twirp.Unavailable, "the instance has not joined yet")

// ConfirmExpiry tells a successor, as a witness, whether a holder's lease has expired.
func (p *peerService) ConfirmExpiry(ctx context.Context, r *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	s := p.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.ConfirmExpiry(ctx, r)
}

// Reacquire votes, as a witness, on whether a holder may re-acquire its expired lease.
func (p *peerService) Reacquire(ctx context.Context, r *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	s := p.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.Reacquire(ctx, r)
}

// Resign records, as a witness, that a holder has resigned its lease.
func (p *peerService) Resign(ctx context.Context, r *peer.ResignRequest) (*peer.ResignResponse, error) {
	s := p.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.endpoint.Resign(ctx, r)
}

// NotifyExpiry starts the takeover from an incarnation, once its witnesses confirm the expiry.
func (p *peerService) NotifyExpiry(_ context.Context, r *peer.NotifyExpiryRequest) (*peer.NotifyExpiryResponse, error) {
	if s := p.instance.session.Load(); s != nil {
		s.owned.NotifyExpiry(r.GetHolder().ToIncarnation())
	}
	return &peer.NotifyExpiryResponse{}, nil
}

// Promise responds to an incarnation that is to become the owner of a partition, see ownership.Manager.Promise.
func (p *peerService) Promise(ctx context.Context, r *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	s := p.instance.session.Load()
	if s == nil {
		return nil, errNotJoined
	}
	return s.owned.Promise(ctx, r)
}

// Fetch returns the rows that were written after the revision that the other instance has. If the request names a row, Fetch returns the
// value of this row regardless of the revision.
func (p *peerService) Fetch(_ context.Context, r *peer.FetchRequest) (*peer.FetchResponse, error) {
	if kind := r.GetKind(); kind != "" {
		row := p.instance.rowCache.get(kind)
		return &peer.FetchResponse{Version: p.instance.acceptedVersion(kind), Value: row.Value}, nil
	}
	changes := p.instance.rowCache.changesSince(r.GetHave())
	value, err := json.Marshal(changes)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.FetchResponse{Version: changes.Revision, Value: value}, nil
}

// Status returns the instance's state as JSON.
func (p *peerService) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	value, err := json.Marshal(p.instance.Status())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.StatusResponse{Json: value}, nil
}

// Events returns the events that were recorded after a sequence number.
func (p *peerService) Events(_ context.Context, r *peer.EventsRequest) (*peer.EventsResponse, error) {
	events, _ := p.instance.log.After(r.GetAfter())
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

// Quarantine adds fingerprints of requests that crashed, or are suspected to have crashed, the upstreams of other instances.
func (p *peerService) Quarantine(_ context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond
	p.instance.quarantine.Add(r.GetFingerprints(), remaining)
	p.instance.quarantine.AddSuspects(r.GetSuspects(), remaining)
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

// dialMember returns a client of the slot of an incarnation. The receiver refuses calls that are meant for another incarnation.
func (i *Instance) dialMember(m member.Incarnation) (peer.Peer, error) { return i.dialSlot(m.Slot()) }
