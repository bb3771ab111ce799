package ownership

import (
	"context"
	"sync"

	"sapphiretray/member"
)

// callLimits bounds the calls for claims that run at the same time, separately for each incarnation that is called, so that a silent one
// delays only claims that need it. The zero value is ready to use.
type callLimits struct {
	mu     sync.Mutex
	limits map[member.Incarnation]*callLimit
}

// callLimit holds an element in slots for each running call to one incarnation. Its users are the running and the waiting calls.
type callLimit struct {
	slots chan struct{}
	users int
	// ctx ends once the incarnation has ended.
	ctx    context.Context
	cancel context.CancelFunc
}

// acquire waits until fewer than maxConcurrentCalls calls to an incarnation are running. The returned context is that of the call and
// derives from ctx, and the returned function ends the call. Both the wait and the call are cancelled by endCalls.
func (l *callLimits) acquire(ctx context.Context, i member.Incarnation) (call context.Context, release func(), err error) {
	limit := l.enter(ctx, i)
	select {
	case limit.slots <- struct{}{}:
		return limit.ctx, func() {
			<-limit.slots
			l.leave(i, limit)
		}, nil
	case <-limit.ctx.Done():
		l.leave(i, limit)
		return nil, nil, limit.ctx.Err()
	}
}

// endCalls cancels the calls to an incarnation that has ended.
func (l *callLimits) endCalls(i member.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, ok := l.limits[i]; ok {
		limit.cancel()
	}
}

func (l *callLimits) enter(ctx context.Context, i member.Incarnation) *callLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = make(map[member.Incarnation]*callLimit)
	}
	limit, ok := l.limits[i]
	if !ok {
		limit = &callLimit{slots: make(chan struct{}, maxConcurrentCalls)}
		limit.ctx, limit.cancel = context.WithCancel(ctx)
		l.limits[i] = limit
	}
	limit.users++
	return limit
}

func (l *callLimits) leave(i member.Incarnation, limit *callLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit.users--
	if limit.users == 0 {
		limit.cancel()
		delete(l.limits, i)
	}
}
