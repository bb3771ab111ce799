// Package grant manages the keys that the local upstream may serve. It claims keys from their earlier holders, grants them to the
// upstream for a short time, renews the grants while the instance's lease is valid, and releases keys that another instance claims.
package grant

import (
	"context"
	"errors"
	"time"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// Grant allows the upstream to serve a range of keys for a time that begins when the call arrives.
type Grant struct {
	keyspace.Range
	// Fence returns the fencing token. newConnection is true if the grant is sent over a new connection,
	// which may reach a restarted upstream.
	Fence func(newConnection bool) uint64
	// Hold returns the time for which the keys are granted. The upstream's client calls it after Fence, when nothing but the write of the
	// request follows: the hold counts from the arrival, and must end with the lease. It returns 0 if the grant must not be sent any more;
	// Grant then returns ErrTooLate.
	Hold func() time.Duration
	// Handover is the handover token that the previous upstream returned when it released the keys; empty if there is none.
	Handover string
}

var (
	// ErrFenced means that the upstream has seen a higher fencing token on one of the keys.
	ErrFenced = errors.New("the upstream has seen a higher fencing token")
	// ErrTooLate means that the grant wasn't sent, since its call has ended or the lease has expired or ends too soon.
	ErrTooLate = errors.New("too late to send the grant")
	// ErrUpstreamGone means that the upstream's process has ended, so that it holds no keys.
	ErrUpstreamGone = errors.New("the upstream's process has ended")
)

// Upstream is the server that keys are granted to. Both methods return ErrUpstreamGone if the upstream's process has ended. A refused
// connection alone doesn't show that.
type Upstream interface {
	// Grant grants keys or renews a grant. It returns ErrFenced if the fencing token is too old, and ErrTooLate without sending
	// anything if g.Hold returns 0.
	Grant(ctx context.Context, g Grant) error
	// Release stops new work on keys and returns when the running work on them has ended. The handover token is passed
	// on to the next upstream.
	Release(ctx context.Context, r keyspace.Range, fence uint64) (handover string, err error)
}

// Lease is the lease of this incarnation, during which it may grant keys.
type Lease interface {
	// Valid reports whether the lease is valid now.
	Valid() bool
	// Expires returns the time at which the lease ends unless it is extended.
	Expires() time.Time
}

// ReleaseRequest asks the holder of a range to release it to a successor and not to serve it under an epoch below Epoch any more.
type ReleaseRequest struct {
	keyspace.Range
	Service   string
	Epoch     uint64
	Holder    member.Incarnation
	Successor member.Incarnation
}

// Handover is the handover token that an upstream returned when it released a range.
type Handover struct {
	keyspace.Range
	Token string
}

// Peers communicates with the other incarnations of the service.
type Peers interface {
	// Release asks r.Holder to release keys and returns when its upstream can't serve them any more. It returns code.BadRequest
	// if the instance has another incarnation now and code.Conflict if the keys are served under r.Epoch or a newer epoch there.
	Release(ctx context.Context, r ReleaseRequest) ([]Handover, error)
	// ProveExpired reports whether a majority of the witnesses of an incarnation proves that its lease has expired and can't be
	// re-acquired. It asks them until ctx ends.
	ProveExpired(ctx context.Context, i member.Incarnation) (bool, error)
	// Ended reports whether stored records prove that the upstream of an incarnation has ended.
	Ended(i member.Incarnation) bool
}
