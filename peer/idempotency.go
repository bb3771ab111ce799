package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
)

// headerIdempotencyKey carries a key by which the receiver of a call recognizes repetitions.
const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKey bounds the length of a key, in bytes. Longer ones are ignored.
const maxIdempotencyKey = 64

type idempotencyKey struct{}

// WithIdempotencyKey returns a context for a call that has a key. Repetitions of the call must have the same key, which no other call has.
func WithIdempotencyKey(ctx context.Context, key string) (context.Context, error) {
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{headerIdempotencyKey: {key}})
}

// IdempotencyKey returns the key of a call that is being served, or "" if it has none.
func IdempotencyKey(ctx context.Context) string {
	key, _ := ctx.Value(idempotencyKey{}).(string)
	return key
}

// receiveIdempotencyKey makes the key of a call available to IdempotencyKey.
func receiveIdempotencyKey(r *http.Request) *http.Request {
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKey {
		return r
	}
	return r.WithContext(context.WithValue(r.Context(), idempotencyKey{}, key))
}
