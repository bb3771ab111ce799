package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/grant"
)

// movedRetryAfter is the Retry-After of a request whose key is moving to another owner.
const movedRetryAfter = 300 * time.Millisecond

// admission admits the keys that are granted to the upstream. It implements gateway.Keys.
type admission struct{ manager *grant.Manager }

// Admit implements gateway.Keys.
func (a admission) Admit(ctx context.Context, key uint16, until time.Time) *gateway.Failure {
	err := a.manager.Admit(ctx, key, until)
	var notOwner *grant.NotOwnerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notOwner):
		return &gateway.Failure{
			Code: code.NotOwner, RetryAfter: movedRetryAfter, OwnerSlot: notOwner.Successor().Slot(), Reason: err.Error(),
		}
	default:
		return &gateway.Failure{Code: code.Moved, RetryAfter: movedRetryAfter, Reason: err.Error()}
	}
}

// noKeys admits no keys, for an instance that hasn't joined yet. It implements gateway.Keys.
type noKeys struct{}

// Admit implements gateway.Keys.
func (noKeys) Admit(_ context.Context, key uint16, _ time.Time) *gateway.Failure {
	return &gateway.Failure{
		Code: code.NotOwner, RetryAfter: movedRetryAfter, Reason: fmt.Sprintf("key %d isn't served here: the instance has not joined", key),
	}
}
