package peer

import (
	"context"

	"github.com/twitchtv/twirp"
)

// Unimplemented refuses calls with the twirp code unimplemented. Types that implement only some calls of Peer embed it. It leaves out
// the calls of witnesses (ConfirmExpiry, Reacquire and Resign), which every instance implements.
type Unimplemented struct{}

var errUnimplemented = twirp.NewError(twirp.Unimplemented, "this instance doesn't implement the call")

// NotifyExpiry is refused.
func (Unimplemented) NotifyExpiry(context.Context, *NotifyExpiryRequest) (*NotifyExpiryResponse, error) {
	return nil, errUnimplemented
}

// Promise is refused.
func (Unimplemented) Promise(context.Context, *PromiseRequest) (*PromiseResponse, error) {
	return nil, errUnimplemented
}

// Fetch is refused.
func (Unimplemented) Fetch(context.Context, *FetchRequest) (*FetchResponse, error) {
	return nil, errUnimplemented
}

// Status is refused.
func (Unimplemented) Status(context.Context, *StatusRequest) (*StatusResponse, error) {
	return nil, errUnimplemented
}

// Events is refused.
func (Unimplemented) Events(context.Context, *EventsRequest) (*EventsResponse, error) {
	return nil, errUnimplemented
}

// Quarantine is refused.
func (Unimplemented) Quarantine(context.Context, *QuarantineRequest) (*QuarantineResponse, error) {
	return nil, errUnimplemented
}

// ReleaseKeys is refused.
func (Unimplemented) ReleaseKeys(context.Context, *ReleaseKeysRequest) (*ReleaseKeysResponse, error) {
	return nil, errUnimplemented
}

// Report is refused.
func (Unimplemented) Report(context.Context, *ReportRequest) (*ReportResponse, error) {
	return nil, errUnimplemented
}

// Push is refused.
func (Unimplemented) Push(context.Context, *PushRequest) (*PushResponse, error) {
	return nil, errUnimplemented
}
