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

// Operation is one request of a workload with its final outcome.
type Operation struct {
	ID      string
	Key     string
	Through string
	Start   time.Time
	End     time.Time
	Code    code.Code
	// Ran is what the last answer said about all attempts with this id; unknown if there was no answer.
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

// Operations returns the operations in the order of their ends.
func (h *History) Operations() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.operations)
}

// Workload is a set of concurrent callers that send requests that are not idempotent until the context ends.
type Workload struct {
	// Callers is the number of concurrent callers; each uses one key at a time.
	Callers int
	// Keys are the keys that requests are spread over.
	Keys []string
	// Through returns the instances that callers connect to.
	Through func() []*Node
	// Prefix is the path prefix of the route.
	Prefix string
	// Timeout bounds one request with all its repeats.
	Timeout time.Duration
	// Pause is the time between two requests of a caller.
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
		// A request that has begun is finished, so that its outcome is known.
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Timeout)
		answer, err := client.Post(request, node.URL()+w.Prefix+key, o.ID, []byte(o.ID))
		cancel()
		o.End, o.Code, o.Ran = time.Now(), answer.Code, answer.Ran
		if err != nil && (errors.Is(err, ErrUnknown) || answer.Ran == "") {
			o.Ran = code.RanUnknown
		}
		h.add(o)
		time.Sleep(w.Pause)
	}
}

// Gap is a time during which no request for a key succeeded.
type Gap struct {
	Key    string
	Length time.Duration
}

// LongestGap returns the longest time without a success of one key, among those that end between two moments. A key that has no
// success after its last one counts until the second moment.
func LongestGap(operations []Operation, after, until time.Time) Gap {
	last := map[string]time.Time{}
	var longest Gap
	note := func(key string, end time.Time) {
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
			note(o.Key, o.End)
		}
		last[o.Key] = o.End
	}
	for key := range last {
		note(key, until)
	}
	return longest
}

// CheckRuns compares the outcomes that callers were told with the effects at the upstreams, and returns what contradicts them.
func CheckRuns(operations []Operation, effects []fake.Effect) []string {
	runs := map[string]int{}
	for _, e := range effects {
		runs[e.ID]++
	}
	var faults []string
	for _, o := range operations {
		n := runs[o.ID]
		switch {
		case n > 1:
			faults = append(faults, fmt.Sprintf("request %s ran %d times", o.ID, n))
		case o.Ran == code.RanNo && n > 0:
			faults = append(faults, fmt.Sprintf("request %s was refused as not run with %s and ran", o.ID, o.Code))
		case o.Code == code.OK && n == 0:
			faults = append(faults, fmt.Sprintf("request %s succeeded without an effect", o.ID))
		}
	}
	return faults
}

// CheckFences returns the effects whose fencing token is older than that of an earlier effect on the same partition: two
// servers then owned the partition at once.
func CheckFences(effects []fake.Effect) []string {
	ordered := slices.Clone(effects)
	slices.SortStableFunc(ordered, func(a, b fake.Effect) int { return a.Time.Compare(b.Time) })
	newest := map[int]fake.Effect{}
	var faults []string
	for _, e := range ordered {
		if last, ok := newest[e.Partition]; ok && e.Fence < last.Fence {
			faults = append(faults, fmt.Sprintf("partition %d: request %s ran under fence %d after %s under fence %d",
				e.Partition, e.ID, e.Fence, last.ID, last.Fence))
			continue
		}
		newest[e.Partition] = e
	}
	return faults
}

// Effects returns the effects at all upstreams of the deployment.
func (d *Deployment) Effects() []fake.Effect {
	var effects []fake.Effect
	for _, n := range d.nodes {
		effects = append(effects, n.upstream.Journal()...)
	}
	return effects
}
