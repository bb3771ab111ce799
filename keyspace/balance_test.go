package keyspace_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// rangeLoad returns a load that is spread evenly over the keys from first to last.
func rangeLoad(first, last keyspace.Key, load float64) keyspace.RangeLoad {
	return keyspace.RangeLoad{Range: keyspace.Range{First: first, Last: last}, Load: load}
}

// TestBalanceAroundImmovableLoad guards against balancing that stops at the first upstream whose load can't be moved while others
// stay overloaded. In a large deployment, one hot key blocked all other moves for six seconds.
func TestBalanceAroundImmovableLoad(t *testing.T) {
	c := candidates(1, 1, 1, 1, 1, 1, 1, 1)
	first := mustPlan(t, planInput(nil, c, nil))
	tests := []struct {
		name  string
		loads []keyspace.RangeLoad
		// immovable is the number of loads, from the first on, that are on a single key and exceed an upstream.
		immovable int
	}{
		{"one key that exceeds an upstream", []keyspace.RangeLoad{rangeLoad(7, 7, 40), rangeLoad(60000, 60199, 16)}, 1},
		{"two keys that exceed an upstream", []keyspace.RangeLoad{
			rangeLoad(7, 7, 40), rangeLoad(8200, 8200, 30), rangeLoad(60000, 60199, 16),
		}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, plans := converge(t, first, c, test.loads)
			hotOwners := make(map[member.Incarnation]bool)
			for _, s := range test.loads[:test.immovable] {
				e, _ := m.Find(s.First)
				hotOwners[e.Owner()] = true
			}
			for i, load := range carried(m, test.loads) {
				if use := load / 6; !hotOwners[i] && use > 0.8 {
					t.Errorf("utilisation of %s is %.2f after %d plans, want at most 0.8", i, use, plans)
				}
			}
		})
	}
	t.Run("a slow idle upstream", func(t *testing.T) {
		slow := slices.Clone(c)
		slow[0].RelativeServiceTime = 4
		loads := []keyspace.RangeLoad{rangeLoad(0, 0, 0.1), rangeLoad(60000, 60199, 5.5)}
		m, _ := converge(t, first, slow, loads)
		for i, load := range carried(m, loads) {
			if use := load / 6; use > 0.8 {
				t.Errorf("utilisation of %s is %.2f, want at most 0.8", i, use)
			}
		}
	})
}

// TestIdleDeploymentIsNotBalanced guards against moves from upstreams that aren't overloaded. At startup, large parts of an idle
// deployment were moved to the upstreams that had responded to their first requests fastest.
func TestIdleDeploymentIsNotBalanced(t *testing.T) {
	c := candidates(0.7, 0.8, 1, 1.2, 1.25)
	m := mustPlan(t, planInput(nil, c, nil))
	if next, moves := keyspace.Plan(planInput(m, settle(c, m), uniform(5))); next != nil {
		t.Errorf("load was moved in an idle deployment: %+v", moves)
	}
}

// TestHotKeyGoesToFastestUpstream checks that a key whose load exceeds any upstream moves to one of the fastest, which serve most of
// its requests, that its owner gives up its other keys, and that the key doesn't move again for a small gain in speed.
func TestHotKeyGoesToFastestUpstream(t *testing.T) {
	c := candidates(1, 1.2, 0.6, 1, 0.58)
	loads := append(uniform(5), rangeLoad(7, 7, 30))
	m, plans := converge(t, mustPlan(t, planInput(nil, c, nil)), c, loads)
	e, _ := m.Find(7)
	if e.Owner() != c[2].Instance && e.Owner() != c[4].Instance {
		t.Errorf("after %d plans the owner of the hot key is %s, want one of the two fastest", plans, e.Owner())
	}
	if load := carried(m, loads)[e.Owner()]; load > 30.5 {
		t.Errorf("the owner of the hot key carries %.1f on other keys, want at most 0.5", load-30)
	}
	faster := slices.Clone(c)
	faster[0].RelativeServiceTime = 0.5
	if next, _ := keyspace.Plan(planInput(m, settle(faster, m), loads)); next != nil {
		if moved, _ := next.Find(7); moved.Owner() != e.Owner() {
			t.Errorf("the hot key moved to an upstream that is only slightly faster")
		}
	}
}

// TestNoMovesBetweenFullUpstreams guards against moves that don't raise the number of served requests: near full utilisation, small
// differences in load are large differences in cost, and each move makes requests wait.
func TestNoMovesBetweenFullUpstreams(t *testing.T) {
	c := candidates(1, 1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	loads := []keyspace.RangeLoad{
		rangeLoad(0, 16383, 9), rangeLoad(16384, 32767, 7), rangeLoad(32768, 49151, 6), rangeLoad(49152, keyspace.MaxKey, 5.5),
	}
	if next, moves := keyspace.Plan(planInput(m, settle(c, m), loads)); next != nil {
		t.Errorf("load was moved between full upstreams: %+v", moves)
	}
}

// TestHotKeysByDozens guards against an upstream that stays overloaded when dozens of adjacent keys turn hot at once, against moves of more
// keys than that takes, and against moves to and fro while the demand rises and falls in waves of 11 to 13 s.
func TestHotKeysByDozens(t *testing.T) {
	const (
		all         = 120.0
		hotShare    = 0.35
		maxPlans    = 3
		maxUse      = 0.95
		planSeconds = 0.25
	)
	speeds := make([]float64, 30)
	for n := range speeds {
		speeds[n] = []float64{0.7, 0.7, 1.6}[n%3]
	}
	c := candidates(speeds...)
	first, _ := converge(t, mustPlan(t, planInput(nil, c, nil)), c, uniform(all))
	for _, hot := range []int{60, 120, 200} {
		t.Run(fmt.Sprint(hot, " keys"), func(t *testing.T) {
			loads := uniform((1 - hotShare) * all)
			for key := range hot {
				key := keyspace.Key(30000 + key)
				loads = append(loads, rangeLoad(key, key, hotShare*all/float64(hot)))
			}
			m, plans, moved := first, 0, 0
			for ; plans < 50; plans++ {
				next, moves := keyspace.Plan(planInput(m, settle(c, m), loads))
				if next == nil {
					break
				}
				for _, move := range moves {
					moved += move.Size()
				}
				m = next
			}
			use := 0.0
			for n := range c {
				use = max(use, carried(m, loads)[c[n].Instance]*c[n].RelativeServiceTime/float64(c[n].Slots))
			}
			t.Logf("%d plans moved %.3f of all keys; utilisation at most %.2f", plans, float64(moved)/(1<<16), use)
			if plans > maxPlans || use > maxUse {
				t.Errorf("utilisation of up to %.2f after %d plans, want at most %.2f after %d", use, plans, maxUse, maxPlans)
			}
			// The keys of an upstream that stands still for a moment of the balance don't have to be more than those of three.
			if moved > 3<<16/len(c) {
				t.Errorf("%d keys were moved, more than three upstreams own", moved)
			}
			for _, period := range []float64{11, 13} {
				moves := 0
				for at := 0.0; at < 2*period; at += planSeconds {
					wave := slices.Clone(loads)
					for n := range wave {
						wave[n].Load *= 1 + 0.15*math.Sin(2*math.Pi*at/period)
					}
					if next, made := keyspace.Plan(planInput(m, settle(c, m), wave)); next != nil {
						m, moves = next, moves+len(made)
					}
				}
				t.Logf("%d moves in two waves of %v s", moves, period)
				if moves > len(c)/3 {
					t.Errorf("%d moves in two waves of %v s", moves, period)
				}
			}
		})
	}
}
