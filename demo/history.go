package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
)

// Operation is one request of a workload, retries included, with its final outcome.
type Operation struct {
	ID  string
	Key string
	// Through is the slot of the instance that received the request.
	Through string
	Start   time.Time
	End     time.Time
	Code    code.Code
	// Ran tells whether any attempt with this id ran, as the last response states it; it is unknown if there was no response.
	Ran code.Ran
}

// History collects the operations of concurrent callers. The zero value is empty.
type History struct {
	mu         sync.Mutex
	operations []Operation
}

func (h *History) add(o Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// Operations returns the operations in the order in which they ended.
func (h *History) Operations() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.operations)
}

// Workload is a set of concurrent callers that send non-idempotent requests until the context ends.
type Workload struct {
	// Callers is the number of concurrent callers; each sends one request at a time.
	Callers int
	// Keys are the keys of the requests, which are drawn at random.
	Keys []string
	// Through returns the instances that callers may connect to; it is called before each request.
	Through func() []*Node
	// Prefix is the path prefix of the route.
	Prefix string
	// Timeout bounds one request with all its retries.
	Timeout time.Duration
	// Pause is the time that a caller waits between two requests.
	Pause time.Duration
	Seed  uint64
}

// Run sends requests until ctx ends and returns their history.
func (w Workload) Run(ctx context.Context) *History {
	h := &History{}
	var group sync.WaitGroup
	for n := range w.Callers {
		group.Go(func() { w.caller(ctx, h, n) })
	}
	group.Wait()
	return h
}

func (w Workload) caller(ctx context.Context, h *History, n int) {
	random := rand.New(rand.NewPCG(w.Seed, uint64(n)))
	client := NewClient()
	for k := 0; ctx.Err() == nil; k++ {
		nodes := w.Through()
		node := nodes[random.IntN(len(nodes))]
		key := w.Keys[random.IntN(len(w.Keys))]
		o := Operation{ID: fmt.Sprintf("%d-%d-%d", w.Seed, n, k), Key: key, Through: node.Slot(), Start: time.Now()}
		// A started request is not cancelled when ctx ends, so that its outcome is known.
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Timeout)
		response, err := client.Post(request, node.URL()+w.Prefix+key, o.ID, []byte(o.ID))
		cancel()
		o.End, o.Code, o.Ran = time.Now(), response.Code, response.Ran
		if err != nil && (errors.Is(err, ErrUnknown) || response.Ran == "") {
			o.Ran = code.RanUnknown
		}
		h.add(o)
		time.Sleep(w.Pause)
	}
}

// Gap is an interval without a successful request for a key.
type Gap struct {
	Key    string
	Length time.Duration
}

// LongestGap returns the longest interval between successive successes of the same key, among those that end later than after and no
// later than until. The interval from the last success of a key to until counts, too. Keys without a success don't count.
func LongestGap(operations []Operation, after, until time.Time) Gap {
	last := map[string]time.Time{}
	var longest Gap
	update := func(key string, end time.Time) {
		if gap := end.Sub(last[key]); gap > longest.Length {
			longest = Gap{Key: key, Length: gap}
		}
	}
	slices.SortFunc(operations, func(a, b Operation) int { return a.End.Compare(b.End) })
	for _, o := range operations {
		if o.Code != code.OK || o.End.After(until) {
			continue
		}
		if _, ok := last[o.Key]; ok && o.End.After(after) {
			update(o.Key, o.End)
		}
		last[o.Key] = o.End
	}
	for key := range last {
		update(key, until)
	}
	return longest
}

// CheckOutcomes compares the outcomes that callers received with the effects at the upstreams, and describes the contradictions.
func CheckOutcomes(operations []Operation, effects []fake.Effect) []string {
	runs := map[string]int{}
	for _, e := range effects {
		runs[e.ID]++
	}
	var violations []string
	for _, o := range operations {
		n := runs[o.ID]
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("request %s ran %d times", o.ID, n))
		case o.Ran == code.RanNo && n > 0:
			violations = append(violations, fmt.Sprintf("request %s was refused with %s as not run, but ran", o.ID, o.Code))
		case o.Code == code.OK && n == 0:
			violations = append(violations, fmt.Sprintf("request %s succeeded, but has no effect", o.ID))
		}
	}
	return violations
}

// CheckFences describes the effects whose fencing token is lower than that of an earlier effect on the same partition, which means
// that two instances served the partition at the same time.
func CheckFences(effects []fake.Effect) []string {
	ordered := slices.Clone(effects)
	slices.SortStableFunc(ordered, func(a, b fake.Effect) int { return a.Time.Compare(b.Time) })
	newest := map[int]fake.Effect{}
	var violations []string
	for _, e := range ordered {
		if last, ok := newest[e.Partition]; ok && e.Fence < last.Fence {
			violations = append(violations, fmt.Sprintf("partition %d: request %s ran with fencing token %d after request %s with %d",
				e.Partition, e.ID, e.Fence, last.ID, last.Fence))
			continue
		}
		newest[e.Partition] = e
	}
	return violations
}

// Effects returns the effects at all upstreams of the deployment.
func (d *Deployment) Effects() []fake.Effect {
	var effects []fake.Effect
	for _, n := range d.nodes {
		effects = append(effects, n.upstream.Effects()...)
	}
	return effects
}
