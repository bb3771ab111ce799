package heartbeat

import (
	"context"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"

	"github.com/twitchtv/twirp"
)

// ConfirmExpiry answers a successor that asks whether a lease has expired.
func (e *Endpoint) ConfirmExpiry(_ context.Context, request *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	holder, err := holderOf(request.GetHolder())
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	confirmation := e.witness.ConfirmExpiry(holder, time.Now())
	wait := (confirmation.Wait + time.Millisecond - 1) / time.Millisecond
	return &peer.ConfirmExpiryResponse{
		Witness: e.self.Slot(), Run: confirmation.Run, Expired: confirmation.Expired, WaitMs: int64(wait),
	}, nil
}

// Reacquire votes in a round by which a holder re-acquires its expired lease.
func (e *Endpoint) Reacquire(_ context.Context, request *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	holder, err := holderOf(request.GetHolder())
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	vote := e.witness.Reacquire(holder, request.GetRound(), time.Now())
	return &peer.ReacquireResponse{Witness: vote.Witness, Run: vote.Run, Round: vote.Round, Granted: vote.Granted}, nil
}

// Resign notes that a holder has given up its lease.
func (e *Endpoint) Resign(_ context.Context, request *peer.ResignRequest) (*peer.ResignResponse, error) {
	holder, err := holderOf(request.GetHolder())
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.Resign(holder, time.Now())
	wake(e.witnessWake)
	return &peer.ResignResponse{}, nil
}

func holderOf(i *peer.Incarnation) (member.Incarnation, error) {
	if i.GetSlot() == "" || i.GetNumber() == 0 {
		return member.Incarnation{}, twirp.RequiredArgumentError("holder")
	}
	return fromWire(i), nil
}
