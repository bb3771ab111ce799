package keyspace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// incarnation returns the first incarnation in slot 10.0.0.n.
func incarnation(n int) member.Incarnation {
	return member.NewIncarnation(fmt.Sprintf("10.0.0.%d", n), 1)
}

// candidates returns one candidate with 6 slots for each relative service time.
func candidates(serviceTimes ...float64) []keyspace.Candidate {
	list := make([]keyspace.Candidate, 0, len(serviceTimes))
	for n, serviceTime := range serviceTimes {
		list = append(list, keyspace.Candidate{Instance: incarnation(n), Slots: 6, RelativeServiceTime: serviceTime})
	}
	return list
}

// never is an Ended or Keep function that is false for each incarnation.
func never(member.Incarnation) bool { return false }

// planInput returns an input in which every owner but the candidates has to be replaced.
func planInput(current *keyspace.Map, c []keyspace.Candidate, loads []keyspace.RangeLoad) keyspace.PlanInput {
	return keyspace.PlanInput{Service: "bookings", Current: current, Candidates: c, Ended: never, Keep: never, Loads: loads}
}

// settle returns the candidates as serving all keys that the map assigns to them.
func settle(c []keyspace.Candidate, m *keyspace.Map) []keyspace.Candidate {
	settled := slices.Clone(c)
	for n := range settled {
		settled[n].SettledVersion = m.Version()
	}
	return settled
}

// mustPlan returns the next map and fails the test if there is none.
func mustPlan(t *testing.T, p keyspace.PlanInput) *keyspace.Map {
	t.Helper()
	m, _ := keyspace.Plan(p)
	if m == nil {
		t.Fatal("no plan")
	}
	return m
}

// converge applies plans until one changes nothing. It returns the last map and the number of plans, and fails the test after 50.
func converge(t *testing.T, m *keyspace.Map, c []keyspace.Candidate, loads []keyspace.RangeLoad) (*keyspace.Map, int) {
	t.Helper()
	for n := range 50 {
		next, _ := keyspace.Plan(planInput(m, settle(c, m), loads))
		if next == nil {
			return m, n
		}
		m = next
	}
	t.Fatal("the plans don't converge")
	return nil, 0
}

// carried returns the load of each instance under a map.
func carried(m *keyspace.Map, loads []keyspace.RangeLoad) map[member.Incarnation]float64 {
	sums := make(map[member.Incarnation]float64)
	for _, s := range loads {
		for k := int(s.First); k <= int(s.Last); k++ {
			e, _ := m.Find(keyspace.Key(k))
			sums[e.Owner()] += s.Load / float64(s.Size())
		}
	}
	return sums
}

// TestNewMapRequiresAllKeys guards against maps that leave keys without an entry or have two for one.
func TestNewMapRequiresAllKeys(t *testing.T) {
	owner := []member.Incarnation{incarnation(1)}
	tests := []struct {
		name    string
		entries []keyspace.Entry
		valid   bool
	}{
		{"whole", []keyspace.Entry{{Range: keyspace.Range{First: 0, Last: keyspace.MaxKey}, Members: owner}}, true},
		{"gap", []keyspace.Entry{
			{Range: keyspace.Range{First: 0, Last: 9}}, {Range: keyspace.Range{First: 11, Last: keyspace.MaxKey}},
		}, false},
		{"overlap", []keyspace.Entry{
			{Range: keyspace.Range{First: 0, Last: 9}}, {Range: keyspace.Range{First: 9, Last: keyspace.MaxKey}},
		}, false},
		{"short", []keyspace.Entry{{Range: keyspace.Range{First: 0, Last: 9}}}, false},
		{"empty", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := keyspace.NewMap(1, test.entries); (err == nil) != test.valid {
				t.Errorf("error %v, want valid %v", err, test.valid)
			}
		})
	}
}

// TestEncode checks that a map that is encoded and decoded is unchanged.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "candidates")
		serviceTimes := make([]float64, count)
		for n := range serviceTimes {
			serviceTimes[n] = 1
		}
		c := candidates(serviceTimes...)
		m, _ := keyspace.Plan(planInput(nil, c, nil))
		if count > 1 {
			next, _ := keyspace.Plan(planInput(m, settle(c[1:], m), nil))
			m = next
		}
		content, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := keyspace.Decode(content, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded.Entries()) != fmt.Sprint(m.Entries()) || decoded.Version() != m.Version() {
			t.Errorf("decoded %v, want %v", decoded.Entries(), m.Entries())
		}
	})
}

// TestDecodeTruncatedRow guards against a panic, or a nil map without an error, when a truncated row is decoded.
func TestDecodeTruncatedRow(t *testing.T) {
	m := mustPlan(t, planInput(nil, candidates(1, 1, 1), nil))
	content, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(content) {
		if decoded, err := keyspace.Decode(content[:cut], 1<<40); err == nil && decoded == nil {
			t.Errorf("cut at %d: no map and no error", cut)
		}
	}
}

// TestFence checks that the fencing tokens of a newer epoch are above those of all generations of an older one, also if the store has
// come back from a copy in between.
func TestFence(t *testing.T) {
	if keyspace.Fence(1, 1<<30) >= keyspace.Fence(2, 0) || keyspace.Fence(2, 1) <= keyspace.Fence(2, 0) {
		t.Error("fencing tokens are out of order")
	}
	epochs := []uint64{
		1, 1 << 20, store.NewVersion(1, 1), store.NewVersion(1, 1<<20), store.NewVersion(2, 1<<20-5000), store.NewVersion(3, 1<<33),
		store.NewVersion(4, 1<<33-50_000), store.NewVersion(store.MaxEra, store.MaxCounter),
	}
	for n, epoch := range epochs[1:] {
		if last, first := keyspace.Fence(epochs[n], 1<<30), keyspace.Fence(epoch, 0); first <= last {
			t.Errorf("the first token %d of epoch %d is not above the last one %d of epoch %d", first, epoch, last, epochs[n])
		}
	}
	// Larger integers aren't read exactly by all upstreams.
	if token := keyspace.Fence(store.NewVersion(99, 1<<26), 1<<30); token >= 1<<53 {
		t.Errorf("a fencing token of the 99th era is %d", token)
	}
}

// TestLostOwnerIsReplaced guards against keys that stay with an owner that can't serve, and against entries that don't tell the new
// owner which incarnation has to release the keys.
func TestLostOwnerIsReplaced(t *testing.T) {
	c := candidates(1, 1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	lost := c[0].Instance
	next := mustPlan(t, planInput(m, settle(c[1:], m), nil))
	for _, e := range next.Entries() {
		if e.Owner() == lost {
			t.Errorf("keys %s stay with the lost owner", e.Range)
		}
		before, _ := m.Find(e.First)
		moved := before.Owner() != e.Owner()
		if moved && (!slices.Contains(e.Previous, lost) || e.Epoch <= before.Epoch) {
			t.Errorf("moved keys %s: previous %v, epoch %d after %d", e.Range, e.Previous, e.Epoch, before.Epoch)
		}
		if !moved && e.Epoch < before.Epoch {
			t.Errorf("keys %s stay but get epoch %d after %d", e.Range, e.Epoch, before.Epoch)
		}
	}
}

// TestUnsettledPreviousAreKept guards against two incarnations that serve a key: if an owner is replaced before it has taken over,
// the next owner must still obtain the release from the owner before it.
func TestUnsettledPreviousAreKept(t *testing.T) {
	c := candidates(1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	first, second := c[0].Instance, c[1].Instance
	afterFirst := mustPlan(t, planInput(m, settle(c[1:], m), nil))
	afterSecond := mustPlan(t, planInput(afterFirst, []keyspace.Candidate{c[2]}, nil))
	for _, e := range afterSecond.Entries() {
		before, _ := afterFirst.Find(e.First)
		if before.Owner() == second && slices.Contains(before.Previous, first) && !slices.Contains(e.Previous, first) {
			t.Errorf("keys %s: previous %v lacks %s, which the second owner had not replaced", e.Range, e.Previous, first)
		}
	}
}

// TestRestartKeepsKeysInSlot guards against moves of keys to other slots after a restart of a process whose upstream still runs.
func TestRestartKeepsKeysInSlot(t *testing.T) {
	c := candidates(1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	restarted := slices.Clone(c)
	restarted[0].Instance = member.NewIncarnation(c[0].Instance.Slot(), 2)
	next := mustPlan(t, planInput(m, settle(restarted, m), nil))
	for _, e := range next.Entries() {
		before, _ := m.Find(e.First)
		if before.Owner().Slot() != e.Owner().Slot() {
			t.Errorf("keys %s moved from %s to %s", e.Range, before.Owner(), e.Owner())
		}
	}
}

// uniform returns a load that is spread evenly over all keys.
func uniform(total float64) []keyspace.RangeLoad {
	return []keyspace.RangeLoad{{Range: keyspace.Range{First: 0, Last: keyspace.MaxKey}, Load: total}}
}

// TestBalanceHotRange guards against a hot range of 200 adjacent keys, with 45% of the load, that stays on one upstream.
func TestBalanceHotRange(t *testing.T) {
	c := candidates(1, 1, 1, 1, 1, 1, 1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	loads := append(uniform(16), keyspace.RangeLoad{Range: keyspace.Range{First: 30000, Last: 30199}, Load: 13})
	m, plans := converge(t, m, c, loads)
	for i, load := range carried(m, loads) {
		if use := load / 6; use > 0.8 {
			t.Errorf("utilisation of %s is %.2f after %d plans, want at most 0.8", i, use, plans)
		}
	}
	if plans > 4 {
		t.Errorf("%d plans, want at most 4: a hot range lasts for 5 s, and each plan takes a fraction of a second", plans)
	}
}

// TestBalanceUnequalServiceTimes checks upstreams whose service times differ by up to 2.7 times: at a low load the slow ones must
// carry little, and at a high load none may be overloaded.
func TestBalanceUnequalServiceTimes(t *testing.T) {
	serviceTimes := []float64{0.6, 0.6, 0.6, 1, 1, 1, 1.6, 1.6, 1.6}
	tests := []struct {
		name   string
		load   float64
		maxUse float64
		// slowShare is the largest share of the load that the three slow upstreams may carry.
		slowShare float64
	}{
		{"low load", 16, 0.75, 0.12},
		{"high load", 48, 1.0, 0.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := candidates(serviceTimes...)
			m, _ := converge(t, mustPlan(t, planInput(nil, c, nil)), c, uniform(test.load))
			loads := carried(m, uniform(test.load))
			slow := 0.0
			for n, candidate := range c {
				load := loads[candidate.Instance]
				if use := load * candidate.RelativeServiceTime / 6; use > test.maxUse {
					t.Errorf("utilisation of %s at relative service time %.1f is %.2f",
						candidate.Instance, candidate.RelativeServiceTime, use)
				}
				if n >= 6 {
					slow += load
				}
			}
			if slow > test.slowShare*test.load {
				t.Errorf("the slow upstreams carry %.1f of %.1f", slow, test.load)
			}
		})
	}
}

// TestNewCandidateOfIdleDeployment guards against an upstream that stays without keys because it joins while there is next to no load
// or is expected to be slow.
func TestNewCandidateOfIdleDeployment(t *testing.T) {
	tests := []struct {
		name        string
		serviceTime float64
		loads       []keyspace.RangeLoad
	}{
		{"no load", 1, nil},
		{"slow candidate", 3, nil},
		{"small load on one key", 3, []keyspace.RangeLoad{{Range: keyspace.Range{First: 7, Last: 7}, Load: 0.002}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := mustPlan(t, planInput(nil, candidates(1, 1), nil))
			c := candidates(1, 1, test.serviceTime)
			m, _ = converge(t, m, c, test.loads)
			keys := 0
			for _, e := range m.Entries() {
				if e.Owner() == c[2].Instance {
					keys += e.Size()
				}
			}
			if keys < 1000 {
				t.Errorf("the new candidate has %d keys, want at least 1000", keys)
			}
		})
	}
}

// TestSlowUpstreamsKeepKeys guards against keys that move back and forth between slow upstreams: balancing took all keys from one,
// which as a candidate without keys then received some from another, until that had none. Each of these moves took a new map.
func TestSlowUpstreamsKeepKeys(t *testing.T) {
	serviceTimes := []float64{0.69, 0.81, 1.5, 0.7, 1.02, 0.69, 0.68, 1.09, 1.58}
	mean := append(uniform(12), keyspace.RangeLoad{Range: keyspace.Range{First: 46400, Last: 46599}, Load: 8})
	random := rand.New(rand.NewPCG(1, 2))
	c := candidates(serviceTimes...)
	m := mustPlan(t, planInput(nil, c, nil))
	const plans = 100
	changed := 0
	for range plans {
		// Measured service times are off by up to 5% and loads by up to 10%.
		noisy, loads := settle(c, m), slices.Clone(mean)
		for n := range noisy {
			noisy[n].RelativeServiceTime = serviceTimes[n] * (0.95 + 0.1*random.Float64())
		}
		for n := range loads {
			loads[n].Load *= 0.9 + 0.2*random.Float64()
		}
		if next, _ := keyspace.Plan(planInput(m, noisy, loads)); next != nil {
			m = next
			changed++
		}
	}
	t.Logf("%d plans changed", changed)
	if changed > plans/4 {
		t.Errorf("%d of %d plans moved keys under a steady load", changed, plans)
	}
	owners := make(map[member.Incarnation]bool)
	for _, e := range m.Entries() {
		owners[e.Owner()] = true
	}
	if len(owners) != len(c) {
		t.Errorf("%d of %d upstreams have keys", len(owners), len(c))
	}
	loads := carried(m, mean)
	if slow := loads[c[2].Instance] + loads[c[8].Instance]; slow > 2 {
		t.Errorf("the two slow upstreams carry %.1f of 20", slow)
	}
}

// TestBalanceOneHotKey guards against plans that keep moving a key whose load exceeds any upstream.
func TestBalanceOneHotKey(t *testing.T) {
	c := candidates(1, 1, 1)
	loads := append(uniform(6), keyspace.RangeLoad{Range: keyspace.Range{First: 7, Last: 7}, Load: 8})
	m, plans := converge(t, mustPlan(t, planInput(nil, c, nil)), c, loads)
	owner, _ := m.Find(7)
	if load := carried(m, loads)[owner.Owner()]; load > 8.6 {
		t.Errorf("the owner of the hot key carries %.1f on other keys after %d plans, want at most 0.6", load-8, plans)
	}
}

// TestBalanceAfterMove guards against moves to a new owner that seems idle: for a while after a move, its reports contain only part
// of the load, and the reports of the old owner the rest.
func TestBalanceAfterMove(t *testing.T) {
	c := candidates(1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	half := keyspace.Range{First: 0, Last: keyspace.MaxKey / 2}
	rest := keyspace.Range{First: keyspace.MaxKey/2 + 1, Last: keyspace.MaxKey}
	loads := []keyspace.RangeLoad{{Range: half, Load: 1.5}, {Range: half, Load: 1.5}, {Range: rest, Load: 3}}
	if next, moves := keyspace.Plan(planInput(m, settle(c, m), loads)); next != nil {
		t.Errorf("balanced loads are moved: %+v", moves)
	}
}

// TestPlanKeepsMapValid guards against gaps, overlaps and changes of owner without a newer epoch, for random loads and lost owners.
func TestPlanKeepsMapValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := candidates(0.6, 1, 1.6, 1, 0.6)
		m, _ := keyspace.Plan(planInput(nil, c, nil))
		for range 12 {
			var alive []keyspace.Candidate
			for _, candidate := range c {
				if random.IntN(5) > 0 {
					candidate.SettledVersion = m.Version() - uint64(random.IntN(2))
					alive = append(alive, candidate)
				}
			}
			var loads []keyspace.RangeLoad
			for range random.IntN(20) {
				first := random.IntN(int(keyspace.MaxKey))
				last := min(first+random.IntN(500), int(keyspace.MaxKey))
				loads = append(loads, keyspace.RangeLoad{
					Range: keyspace.Range{First: keyspace.Key(first), Last: keyspace.Key(last)}, Load: 3 * random.Float64(),
				})
			}
			next, moves := keyspace.Plan(planInput(m, alive, loads))
			if next == nil {
				continue
			}
			for _, move := range moves {
				before, _ := m.Find(move.First)
				after, _ := next.Find(move.First)
				if after.Epoch <= before.Epoch && before.Owner() != after.Owner() {
					t.Fatalf("move %+v: epoch %d after %d", move, after.Epoch, before.Epoch)
				}
			}
			m = next
		}
	})
}

// TestAdjacentRangesAreMerged guards against a number of ranges that grows with each move: every range needs several grants a second.
func TestAdjacentRangesAreMerged(t *testing.T) {
	c := candidates(1, 1, 1, 1)
	m := mustPlan(t, planInput(nil, c, nil))
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		first := random.IntN(60000)
		loads := append(uniform(6), keyspace.RangeLoad{
			Range: keyspace.Range{First: keyspace.Key(first), Last: keyspace.Key(first + 200)}, Load: 8,
		})
		if next, _ := keyspace.Plan(planInput(m, settle(c, m), loads)); next != nil {
			m = next
		}
	}
	if n := len(m.Entries()); n > 60 {
		t.Errorf("%d ranges after 200 hot ranges, want at most 60", n)
	}
}
