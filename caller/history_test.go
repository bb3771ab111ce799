package caller

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"

	"github.com/anishathalye/porcupine"
)

var seed = flag.Uint64("seed", 1, "seed of randomised tests")

// event is an operation of the history: an attempt of a caller, an effect at an upstream, or the assertion that no attempt ran.
type event struct {
	id   string
	kind string // "attempt", "effect" or "none".
}

// onceModel allows at most one effect per request id, and requires it to precede the return of an attempt that is reported as run.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(event).id
			byID[id] = append(byID[id], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		effects := state.(int)
		switch input.(event).kind {
		case "effect":
			return effects == 0, effects + 1
		case "none":
			return effects == 0, effects
		default:
			return output.(code.Ran) != code.RanYes || effects == 1, effects
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// recorder collects the history of concurrent callers.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
	// mayHaveRun is false for ids whose attempts were all reported as not run.
	mayHaveRun map[string]bool
	counts     map[code.Code]int
}

// attempt records an attempt; without a response it counts as one that may have run.
func (r *recorder) attempt(client int, id string, call time.Time, a testResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := a.ran
	if a.err != nil {
		ran = code.RanUnknown
	}
	r.counts[a.code]++
	r.mayHaveRun[id] = r.mayHaveRun[id] || ran != code.RanNo
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: event{id: id, kind: "attempt"}, Output: ran, Call: call.Sub(r.start).Nanoseconds(),
		Return: time.Since(r.start).Nanoseconds(),
	})
}

// complete returns the history with all effects, and with an assertion for each id whose attempts were all reported as not run.
func (r *recorder) complete(c *testCluster) []porcupine.Operation {
	for n, i := range c.instances {
		for _, e := range i.upstream.Effects() {
			at := e.Time.Sub(r.start).Nanoseconds()
			r.history = append(r.history, porcupine.Operation{
				ClientId: 1000 + n, Input: event{id: e.ID, kind: "effect"}, Call: at, Return: at,
			})
		}
	}
	end := time.Since(r.start).Nanoseconds()
	for id, mayHaveRun := range r.mayHaveRun {
		if !mayHaveRun {
			r.history = append(r.history, porcupine.Operation{ClientId: 2000, Input: event{id: id, kind: "none"}, Call: end, Return: end})
		}
	}
	return r.history
}

// sendUntilRun sends a request up to five times with the same id and token, until it is reported as run.
func (r *recorder) sendUntilRun(ctx context.Context, c *testCluster, client int, id, token string, random *rand.Rand) {
	for range 5 {
		i := c.instances[random.IntN(len(c.instances))]
		call := time.Now()
		attempt, cancel := context.WithTimeout(ctx, time.Duration(10+random.IntN(400))*time.Millisecond)
		a := i.send(attempt, post(id, token))
		cancel()
		r.attempt(client, id, call, a)
		if a.err == nil && a.ran == code.RanYes {
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// TestHistory guards against requests that take effect twice or are reported wrongly, while callers retry them at random
// instances, upstreams fail and the owner changes with and without a handover.
func TestHistory(t *testing.T) {
	const callers, requests = 12, 12
	c := newCluster(t, 3, testSettings{
		timeout: 400 * time.Millisecond, options: []Option{WithHold(200 * time.Millisecond)},
		upstream: []fake.UpstreamOption{fake.WithServiceTime(5 * time.Millisecond), fake.WithSlots(6)},
	})
	r := &recorder{start: time.Now(), mayHaveRun: make(map[string]bool), counts: make(map[code.Code]int)}
	var group sync.WaitGroup
	for client := range callers {
		random := rand.New(rand.NewPCG(*seed, uint64(client)))
		group.Go(func() {
			for n := range requests {
				a := c.instances[random.IntN(3)].send(t.Context(), testRequest{method: "POST", path: "/once/k"})
				if a.code == code.TokenNeeded {
					r.sendUntilRun(t.Context(), c, client, fmt.Sprintf("%d-%d", client, n), a.token, random)
				}
			}
		})
	}
	group.Go(func() { c.injectFaults(t, rand.New(rand.NewPCG(*seed, 99))) })
	group.Wait()
	time.Sleep(50 * time.Millisecond)
	history := r.complete(c)
	if r.counts[code.OK] == 0 || r.counts[code.TokenTooOld] == 0 {
		t.Fatalf("seed %d: the history lacks runs or refused retries: %v", *seed, r.counts)
	}
	if result := porcupine.CheckOperationsTimeout(onceModel, history, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("seed %d: %s over %d operations: %v", *seed, result, len(history), r.counts)
	}
	t.Logf("seed %d: %d operations, results %v", *seed, len(history), r.counts)
}

// injectFaults injects faults into the owner's upstream and changes the owner, alternately with and without a handover.
func (c *testCluster) injectFaults(t *testing.T, random *rand.Rand) {
	t.Helper()
	modes := []fake.Mode{fake.CloseBefore, fake.WrongID, fake.CloseMidway, fake.Freeze, fake.None}
	for n := range 8 {
		from, to := c.instances[n%3], c.instances[(n+1)%3]
		for range 3 {
			from.setUpstreamFault(modes[random.IntN(len(modes))], 1+random.IntN(3))
			time.Sleep(time.Duration(10+random.IntN(30)) * time.Millisecond)
		}
		if n%2 == 0 {
			c.takeOver(t, from, to)
		} else {
			from.setUpstreamFault(fake.None, 0)
			c.handOver(t, from, to)
		}
	}
	for _, i := range c.instances {
		i.setUpstreamFault(fake.None, 0)
	}
}
