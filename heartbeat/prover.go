package heartbeat

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/wait"
	"sapphiretray/witness"
)

// minWait bounds the rate of questions to one witness.
const minWait = 2 * time.Millisecond

// retryWait is the time before a witness that could not be reached is asked again.
const retryWait = 50 * time.Millisecond

// Prover collects proofs that leases have expired.
type Prover struct {
	dial   Dial
	timing witness.Timing
}

// NewProver returns a prover that reaches witnesses through dial.
func NewProver(dial Dial, timing witness.Timing) *Prover { return &Prover{dial: dial, timing: timing} }

// Expired asks all witnesses at once, and again as long as needed, until a majority has confirmed within the window that
// the holder's lease has expired, or until ctx ends. If ctx ends first, the error is nil if at least one witness answered
// that it can't confirm, and the error of ctx if none did. The holder's first lease must have been valid before the call.
func (p *Prover) Expired(ctx context.Context, holder member.Incarnation, witnesses []string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &collection{claim: witness.NewClaim(holder, witnesses, p.timing), done: cancel}
	var asks sync.WaitGroup
	for _, slot := range witnesses {
		asks.Go(func() { p.ask(ctx, c, slot) })
	}
	asks.Wait()
	switch {
	case c.claim.Proved():
		return true, nil
	case c.denied.Load():
		return false, nil
	default:
		return false, ctx.Err()
	}
}

// collection is a claim that several goroutines contribute to.
type collection struct {
	mu     sync.Mutex
	claim  *witness.Claim
	done   func()
	denied atomic.Bool
}

func (c *collection) request(slot string) witness.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claim.Request(slot, time.Now())
}

func (c *collection) confirm(request witness.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim.Confirm(request, time.Now()) {
		c.done()
	}
}

func (p *Prover) ask(ctx context.Context, c *collection, slot string) {
	var pause time.Duration
	for wait.For(ctx, pause) {
		request := c.request(slot)
		response, err := p.call(ctx, c.claim.Holder(), slot)
		switch {
		case err != nil || response.GetWitness() != slot:
			pause = retryWait
		case response.GetExpired():
			c.confirm(request)
			// The confirmation is renewed before it leaves the window.
			pause = p.timing.Lease() / 2
		default:
			c.denied.Store(true)
			told := time.Duration(response.GetWaitMs()) * time.Millisecond
			pause = min(max(told, minWait), p.timing.Wait())
		}
	}
}

func (p *Prover) call(ctx context.Context, holder member.Incarnation, slot string) (*peer.ConfirmExpiryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timing.Lease()/2)
	defer cancel()
	to, err := p.dial(slot)
	if err != nil {
		return nil, err
	}
	return to.ConfirmExpiry(ctx, &peer.ConfirmExpiryRequest{Holder: toWire(holder)})
}
