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
}

// acquire waits until fewer than maxConcurrentCalls calls to an incarnation are running. The returned function ends the call. It returns
// the error of ctx if that ends first.
func (l *callLimits) acquire(ctx context.Context, i member.Incarnation) (release func(), err error) {
	limit := l.enter(i)
	select {
	case limit.slots <- struct{}{}:
		return func() {
			<-limit.slots
			l.leave(i, limit)
		}, nil
	case <-ctx.Done():
		l.leave(i, limit)
		return nil, ctx.Err()
	}
}

func (l *callLimits) enter(i member.Incarnation) *callLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = make(map[member.Incarnation]*callLimit)
	}
	limit, ok := l.limits[i]
	if !ok {
		limit = &callLimit{slots: make(chan struct{}, maxConcurrentCalls)}
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
		delete(l.limits, i)
	}
}
