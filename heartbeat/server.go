package heartbeat

import (
	"context"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"github.com/twitchtv/twirp"
)

// ConfirmExpiry reports whether a lease has expired, for a successor of its holder.
func (e *Endpoint) ConfirmExpiry(_ context.Context, request *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, err := e.requestHolder(request.GetHolder())
	if err != nil {
		return nil, err
	}
	confirmation := e.witness.ConfirmExpiry(holder, time.Now())
	wait := (confirmation.Wait + time.Millisecond - 1) / time.Millisecond
	return &peer.ConfirmExpiryResponse{
		Witness: e.self.Slot(), Run: confirmation.Run, Expired: confirmation.Expired, WaitMs: int64(wait),
	}, nil
}

// Reacquire votes in a round by which a holder re-acquires its expired lease.
func (e *Endpoint) Reacquire(_ context.Context, request *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, err := e.requestHolder(request.GetHolder())
	if err != nil {
		return nil, err
	}
	vote := e.witness.HandleVoteRequest(witness.VoteRequest{
		Holder: holder, Witness: e.self.Slot(), Round: request.GetRound(),
		EchoRun: request.GetEchoRun(), EchoRound: request.GetEchoRound(),
	}, time.Now())
	return &peer.ReacquireResponse{
		Witness: vote.Witness, Run: vote.Run, Round: vote.Round, Granted: vote.Granted, Unproved: vote.Unproved,
	}, nil
}

// Resign records that a holder has given up its lease.
func (e *Endpoint) Resign(_ context.Context, request *peer.ResignRequest) (*peer.ResignResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, err := e.requestHolder(request.GetHolder())
	if err != nil {
		return nil, err
	}
	e.witness.Resign(holder, time.Now())
	wake(e.witnessWake)
	return &peer.ResignResponse{}, nil
}

// requestHolder returns the holder in a request, or an error if the request is invalid or the endpoint is stopped. A stopped endpoint
// must not respond: the next one in the same slot may run already, and the two could support both a lease and a takeover. e.mu must
// be held.
func (e *Endpoint) requestHolder(i *peer.Incarnation) (member.Incarnation, error) {
	if e.stopped {
		return member.Incarnation{}, twirp.Unavailable.Error("the heartbeat endpoint is stopped")
	}
	if i.GetSlot() == "" || i.GetNumber() == 0 {
		return member.Incarnation{}, twirp.RequiredArgumentError("holder")
	}
	return fromWire(i), nil
}
