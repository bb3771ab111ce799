package ownership

import (
	"context"
	"slices"
	"time"

	"sapphiretray/partition"
)

// requestGroup holds the requests in flight on a partition that were admitted while the same keys had partitions of their own.
type requestGroup struct {
	inFlight int
	// idle is closed once no request of the group is in flight any more. It is nil while requests are added to the group.
	idle chan struct{}
}

// end removes a request.
func (g *requestGroup) end() {
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
	}
}

// addRequest adds a request to the newest group of a partition and returns the group. Manager.mu must be held.
func (lp *localPartition) addRequest() *requestGroup {
	if n := len(lp.requests); n == 0 || lp.requests[n-1].idle != nil {
		lp.requests = append(lp.requests, &requestGroup{})
	}
	group := lp.requests[len(lp.requests)-1]
	group.inFlight++
	return group
}

// closeRequests returns the groups of the requests in flight, to which no further request is added. Manager.mu must be held.
func (lp *localPartition) closeRequests() []*requestGroup {
	lp.requests = slices.DeleteFunc(lp.requests, func(g *requestGroup) bool { return g.inFlight == 0 })
	for _, g := range lp.requests {
		if g.idle == nil {
			g.idle = make(chan struct{})
		}
	}
	return slices.Clone(lp.requests)
}

// recordOverrides records the requests in flight that may be for keys to which the next map gives partitions of their own. m.mu must
// be held.
func (m *Manager) recordOverrides(next *partition.Map) {
	if m.current == nil || next.Partitions() == m.current.Partitions() {
		return
	}
	for hash, p := range next.Overrides() {
		if p < m.current.Partitions() {
			continue
		}
		if parent, ok := m.localPartitions[m.current.PartitionOfHash(hash)]; ok {
			m.localPartition(p).parentRequests = parent.closeRequests()
		}
	}
}

// awaitParentRequests waits for the requests that were admitted for the key of a partition before it had that partition. It returns
// false if they are still in flight after the drain timeout or at the end of ctx.
func (m *Manager) awaitParentRequests(ctx context.Context, lp *localPartition) bool {
	m.mu.Lock()
	groups := lp.parentRequests
	m.mu.Unlock()
	timer := time.NewTimer(m.drainTimeout)
	defer timer.Stop()
	for _, g := range groups {
		select {
		case <-g.idle:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lp.parentRequests = nil
	return true
}
