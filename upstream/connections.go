package upstream

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// maxRefusedIDs bounds the request ids that connections remembers.
const maxRefusedIDs = 1024

// connections provides the connections for requests. A request that was refused is sent again on a new connection: if the upstream wrote
// the refusal once more, it would be taken as the response to a request with the same id.
type connections struct {
	// open is the number of open connections to the upstream, those for control calls included.
	open atomic.Int64
	mu   sync.Mutex
	// pooled keeps its connections for further requests, single closes each one after its request. Both are nil until they are needed.
	pooled *http.Transport
	single *http.Transport
	// refused holds the ids of the requests that the upstream refused on connections of pooled.
	refused map[string]struct{}
}

// transport returns the transport for a request with the given id.
func (c *connections) transport(id string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.refused[id]; ok {
		if c.single == nil {
			c.single = newTransport(&c.open)
			c.single.DisableKeepAlives = true
		}
		return c.single
	}
	if c.pooled == nil {
		c.pooled = newTransport(&c.open)
	}
	return c.pooled
}

// recordRefusal records that the upstream refused a request. If there are too many ids, it replaces the connections instead, of which
// those that are in use are closed once they are idle.
func (c *connections) recordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[string]struct{})
	}
	if len(c.refused) < maxRefusedIDs {
		c.refused[id] = struct{}{}
		return
	}
	clear(c.refused)
	if c.pooled != nil {
		c.pooled.CloseIdleConnections()
		c.pooled = nil
	}
}

// closeIdle closes the idle connections.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pooled != nil {
		c.pooled.CloseIdleConnections()
	}
}
