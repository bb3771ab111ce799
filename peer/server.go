package peer

import (
	"net/http"
	"path"

	"sapphiretray/httplimit"
)

const (
	// maxRequestBytes bounds the request of a call. The loads of 16,000 keys take 0.3 MB. A decoded message may take 40 times as much.
	maxRequestBytes = 1 << 20
	// maxPushBytes bounds the rows that are pushed. The key map of a service with 1,040 instances takes 0.4 MB.
	maxPushBytes = 4 << 20
	// maxRequestMemory bounds the large requests that are served at the same time, in bytes.
	maxRequestMemory = 4 * maxPushBytes
)

// NewHandler returns the handler of the calls of other instances. Calls with a request that is too large fail.
func NewHandler(p Peer) http.Handler {
	calls := NewPeerServer(p)
	memory := httplimit.NewMemory(maxRequestMemory)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := httplimit.Limit{Max: maxRequestBytes, Memory: []*httplimit.Memory{memory}}
		if path.Base(r.URL.Path) == "Push" {
			limit.Max = maxPushBytes
		}
		limit.Handler(calls).ServeHTTP(w, receiveIdempotencyKey(r))
	})
}
