// Package grant holds the keys that the local upstream may serve: it claims them from their earlier holders, grants them to
// the upstream for a short time, renews the grants while the instance's lease is valid, and gives keys up when another
// instance claims them.
package grant

import (
	"context"
	"errors"
	"time"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// Grant allows the upstream to serve a range of keys for a time that runs from the arrival of the call.
type Grant struct {
	keyspace.Range
	// Fence returns the fencing token; fresh tells that the order goes over a new connection, at whose other end may be another
	// run of the upstream.
	Fence func(fresh bool) uint64
	Hold  time.Duration
	// Handover is what the upstream that served the keys before gave when it released them, or empty.
	Handover string
}

var (
	// ErrFenced means that the upstream has seen a higher fencing token on one of the keys.
	ErrFenced = errors.New("the upstream has seen a higher fencing token")
	// ErrUpstreamGone means that the upstream's process has ended, so that it holds nothing.
	ErrUpstreamGone = errors.New("the upstream's process has ended")
)

// Upstream is the server that keys are granted to.
type Upstream interface {
	// Grant grants keys or renews a grant.
	Grant(ctx context.Context, g Grant) error
	// Release stops new work on keys. It returns when the work that was running on them has ended, with the handover for
	// their next holder.
	Release(ctx context.Context, r keyspace.Range, fence uint64) (handover string, err error)
}

// Lease is the lease of this incarnation.
type Lease interface {
	Valid() bool
	Expires() time.Time
}

// Request asks an incarnation to give up a range for good under epochs below the given one.
type Request struct {
	keyspace.Range
	Service   string
	Epoch     uint64
	Holder    member.Incarnation
	Successor member.Incarnation
}

// Handover is what the released keys of a range come with.
type Handover struct {
	keyspace.Range
	Token string
}

// Peers reaches the other incarnations of the service.
type Peers interface {
	// Release asks an incarnation to release keys. It returns once the upstream there has released them.
	Release(ctx context.Context, r Request) ([]Handover, error)
	// Expired reports whether the witnesses of an incarnation have confirmed that its lease has expired for good.
	Expired(ctx context.Context, i member.Incarnation) (bool, error)
	// Ended reports whether the records prove that the upstream of an incarnation has ended.
	Ended(i member.Incarnation) bool
}
