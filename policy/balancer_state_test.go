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
	all := make([]Candidate[int], replaced)
	for target := range all {
		all[target].Target = target
		b.Choose(now, "", all[target:target+1])
	}
	if choice, ok := b.Choose(now, "", all); !ok || choice.Expected <= 0 || choice.Next < choice.Expected {
		t.Errorf("choice %+v among unknown targets", choice)
	}
	now = now.Add(2 * targetLifetime)
	b.Choose(now, "", []Candidate[int]{{Target: replaced}})
	if len(b.targets) != 2 || b.targets[0] == nil || b.targets[replaced] == nil {
		t.Errorf("%d targets have state, want the candidate and the one with a request", len(b.targets))
	}
	end(now, TargetLoad{}, TargetServed)
}

// BenchmarkBalancer measures a choice among as many targets as are compared.
func BenchmarkBalancer(b *testing.B) {
	var balancer Balancer[int]
	now := time.Unix(1000, 0)
	candidates := make([]Candidate[int], maxCompared)
	for target := range candidates {
		candidates[target].Target = target
		balancer.Report(now, target, "", TargetLoad{Running: 4, Slots: 6, Wait: -1, ServiceTime: time.Second})
	}
	for b.Loop() {
		balancer.Choose(now.Add(300*time.Millisecond), "", candidates)
	}
}
