package heartbeat

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/wait"
	"sapphiretray/witness"
)

// minAskInterval is the least time between two requests for confirmation to one witness.
const minAskInterval = 2 * time.Millisecond

// unreachableRetryDelay is the time after which a witness that could not be reached is asked again.
const unreachableRetryDelay = 50 * time.Millisecond

// Prover collects proofs that leases have expired.
type Prover struct {
	dial   DialFunc
	timing witness.Timing
}

// NewProver returns a prover that calls witnesses with the clients that dial returns.
func NewProver(dial DialFunc, timing witness.Timing) *Prover {
	return &Prover{dial: dial, timing: timing}
}

// ProveExpired asks the witnesses in the given slots concurrently, and again as long as needed, until the expiry of the holder's lease
// is proved or ctx ends; see witness.ExpiryProof. If ctx ends first, it returns false. The error is then nil if at least one witness
// responded that it can't confirm the expiry, and that of ctx if none did. The holder's first lease must have been valid before the call.
func (p *Prover) ProveExpired(ctx context.Context, holder member.Incarnation, witnesses []string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shared := &sharedProof{proof: witness.NewExpiryProof(holder, witnesses, p.timing), done: cancel}
	var asks sync.WaitGroup
	for _, slot := range witnesses {
		asks.Go(func() { p.collectFrom(ctx, shared, slot) })
	}
	asks.Wait()
	switch {
	case shared.proof.Proved():
		return true, nil
	case shared.denied.Load():
		return false, nil
	default:
		return false, ctx.Err()
	}
}

// sharedProof is a proof to which several goroutines contribute. Its done is called once the proof is complete, and denied is set
// once a witness has responded that it can't confirm the expiry.
type sharedProof struct {
	mu     sync.Mutex
	proof  *witness.ExpiryProof
	done   func()
	denied atomic.Bool
}

func (shared *sharedProof) request(slot string) witness.ConfirmationRequest {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	return shared.proof.ConfirmationRequest(slot, time.Now())
}

func (shared *sharedProof) confirm(request witness.ConfirmationRequest) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	if shared.proof.Confirm(request, time.Now()) {
		shared.done()
	}
}

// collectFrom asks one witness for confirmation until ctx ends.
func (p *Prover) collectFrom(ctx context.Context, shared *sharedProof, slot string) {
	var pause time.Duration
	for wait.For(ctx, pause) {
		request := shared.request(slot)
		response, err := p.confirmExpiry(ctx, shared.proof.Holder(), slot)
		switch {
		case err != nil || response.GetWitness() != slot:
			pause = unreachableRetryDelay
		case response.GetExpired():
			shared.confirm(request)
			// The confirmation is renewed before it is too old to count.
			pause = p.timing.Lease() / 2
		default:
			shared.denied.Store(true)
			suggested := time.Duration(response.GetWaitMs()) * time.Millisecond
			pause = min(max(suggested, minAskInterval), p.timing.LeaseWithDrift())
		}
	}
}

// Ask asks the witness in a slot once whether it confirms the expiry of the holder's lease. The error is that of the call.
func (p *Prover) Ask(ctx context.Context, holder member.Incarnation, slot string) (witness.Confirmation, error) {
	response, err := p.confirmExpiry(ctx, holder, slot)
	if err != nil {
		return witness.Confirmation{}, err
	}
	if response.GetWitness() != slot {
		return witness.Confirmation{}, fmt.Errorf("witness %s: response of %s", slot, response.GetWitness())
	}
	return witness.Confirmation{
		Run: response.GetRun(), Expired: response.GetExpired(), Wait: time.Duration(response.GetWaitMs()) * time.Millisecond,
	}, nil
}

func (p *Prover) confirmExpiry(ctx context.Context, holder member.Incarnation, slot string) (*peer.ConfirmExpiryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timing.Lease()/2)
	defer cancel()
	to, err := p.dial(slot)
	if err != nil {
		return nil, err
	}
	return to.ConfirmExpiry(ctx, &peer.ConfirmExpiryRequest{Holder: toWire(holder)})
}
