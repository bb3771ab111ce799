package grant_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"sapphiretray/bubble"
)

// TestUpdateAtEnd guards against a claim that begins while Wait waits for those before, which the wait then may miss. A key map may arrive
// from another instance at any time, so that Update runs beside the end of a session.
func TestUpdateAtEnd(t *testing.T) {
	for range 50 {
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := newNode(ctx, newPeers(), "a")
			n.upstream.set(func(u *fakeUpstream) { u.waitingTime = maxRealTime })
			var group sync.WaitGroup
			group.Go(func() { n.manager.Update(assignAll(t, 1, n.self)) })
			runtime.Gosched()
			group.Go(n.manager.Wait)
			synctest.Wait()
			cancel()
			group.Wait()
			n.manager.Wait()
			n.manager.Close()
		})
	}
}
