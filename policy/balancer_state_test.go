package policy

import (
	"testing"
	"time"
)

// TestBalancerForgets guards against state that grows with each instance that is replaced, and against the loss of that of a target which
// still has requests.
func TestBalancerForgets(t *testing.T) {
	const replaced = 1000
	var b Balancer[int]
	now := time.Unix(1000, 0)
	end := b.Begin(0, "")
	for target := range replaced {
		b.Choose(now, "", []Candidate[int]{{Target: target}})
	}
	now = now.Add(2 * targetLifetime)
	b.Choose(now, "", []Candidate[int]{{Target: replaced}})
	if len(b.targets) != 2 || b.targets[0] == nil || b.targets[replaced] == nil {
		t.Errorf("%d targets have state, want the candidate and the one with a request", len(b.targets))
	}
	end(now, TargetLoad{}, TargetServed)
}
