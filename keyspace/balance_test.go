package keyspace_test

import (
	"slices"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// span returns a load on a range of keys.
func span(first, last keyspace.Key, load float64) keyspace.SpanLoad {
	return keyspace.SpanLoad{Range: keyspace.Range{First: first, Last: last}, Load: load}
}

// TestBalanceBesideStuckUpstreams guards against a balance that ends at the first upstream that can't give load, while others stay
// overloaded: a single hot key on a large deployment kept all other moves back for six seconds.
func TestBalanceBesideStuckUpstreams(t *testing.T) {
	c := candidates(1, 1, 1, 1, 1, 1, 1, 1)
	first := mustPlan(t, problem(nil, c, nil))
	tests := []struct {
		name  string
		loads []keyspace.SpanLoad
		// stuck is the number of upstreams, the first ones, that can't be relieved.
		stuck int
	}{
		{"a key that exceeds an upstream", []keyspace.SpanLoad{span(7, 7, 40), span(60000, 60199, 16)}, 1},
		{"two of them", []keyspace.SpanLoad{span(7, 7, 40), span(8200, 8200, 30), span(60000, 60199, 16)}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, plans := converge(t, first, c, test.loads)
			hot := make(map[member.Incarnation]bool)
			for _, s := range test.loads[:test.stuck] {
				e, _ := m.Find(s.First)
				hot[e.Owner()] = true
			}
			for i, load := range carried(m, test.loads) {
				if use := load / 6; !hot[i] && use > 0.8 {
					t.Errorf("%s is used at %.2f after %d plans", i, use, plans)
				}
			}
		})
	}
	t.Run("a slow idle upstream", func(t *testing.T) {
		slow := slices.Clone(c)
		slow[0].Pace = 4
		loads := []keyspace.SpanLoad{span(0, 0, 0.1), span(60000, 60199, 5.5)}
		m, _ := converge(t, first, slow, loads)
		for i, load := range carried(m, loads) {
			if use := load / 6; use > 0.8 {
				t.Errorf("%s is used at %.2f", i, use)
			}
		}
	})
}

// TestBearableCosts guards against moves from upstreams that are in no need: at the start, large parts of an idle deployment went to
// the upstreams that had looked fastest in their first requests.
func TestBearableCosts(t *testing.T) {
	c := candidates(0.7, 0.8, 1, 1.2, 1.25)
	m := mustPlan(t, problem(nil, c, nil))
	if next, moves := keyspace.Plan(problem(m, settle(c, m), uniform(5))); next != nil {
		t.Errorf("an idle deployment was balanced: %+v", moves)
	}
}

// TestHotKeyGoesToFastestUpstream answers one key that exceeds a server: of its requests, the fastest upstream serves most. It must
// be relieved of other keys, and the key must not wander.
func TestHotKeyGoesToFastestUpstream(t *testing.T) {
	c := candidates(1, 1.2, 0.6, 1, 0.58)
	loads := append(uniform(5), span(7, 7, 30))
	m, plans := converge(t, mustPlan(t, problem(nil, c, nil)), c, loads)
	e, _ := m.Find(7)
	if e.Owner() != c[2].Instance && e.Owner() != c[4].Instance {
		t.Errorf("after %d plans the hot key is at %s", plans, e.Owner())
	}
	if load := carried(m, loads)[e.Owner()]; load > 30.5 {
		t.Errorf("its owner carries %.1f beside it", load-30)
	}
	faster := slices.Clone(c)
	faster[0].Pace = 0.5
	if next, _ := keyspace.Plan(problem(m, settle(faster, m), loads)); next != nil {
		if moved, _ := next.Find(7); moved.Owner() != e.Owner() {
			t.Errorf("the hot key moved for an upstream that is little faster")
		}
	}
}

// TestNoMovesBetweenFullUpstreams guards against moves that serve nobody more: where all upstreams are full, small differences of load
// look like large ones of cost, and each move makes requests wait.
func TestNoMovesBetweenFullUpstreams(t *testing.T) {
	c := candidates(1, 1, 1, 1)
	m := mustPlan(t, problem(nil, c, nil))
	loads := []keyspace.SpanLoad{span(0, 16383, 9), span(16384, 32767, 7), span(32768, 49151, 6), span(49152, keyspace.MaxKey, 5.5)}
	if next, moves := keyspace.Plan(problem(m, settle(c, m), loads)); next != nil {
		t.Errorf("load was moved between full upstreams: %+v", moves)
	}
}
