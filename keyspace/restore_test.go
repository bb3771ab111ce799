package keyspace_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// TestVersionsStayAboveAllEarlier guards against a map that is written after its row was replaced or removed and whose version or epochs,
// and with them the fencing tokens, aren't above all that were ever given out. The writer may know any earlier map or none.
func TestVersionsStayAboveAllEarlier(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 15))
		all := candidates(1, 1, 1, 1, 1)
		// counter is the version of the store. written holds all maps that were written, and lostAt is the version at which the row was
		// last replaced or removed, 0 if it holds the newest map.
		counter, lostAt := uint64(random.IntN(3)+1), uint64(0)
		var written []*keyspace.Map
		highest := uint64(0)
		write := func(m *keyspace.Map, changed func(e keyspace.Entry) bool) {
			counter++
			if m.Version() <= highest {
				t.Fatalf("seed %d: version %d after %d", seed, m.Version(), highest)
			}
			for _, e := range m.Entries() {
				if changed(e) && e.Epoch <= highest {
					t.Fatalf("seed %d: epoch %d of keys %s after %d", seed, e.Epoch, e.Range, highest)
				}
			}
			content, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := keyspace.Decode(content, counter); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			highest, lostAt, written = m.Version(), 0, append(written, m)
		}
		whole := func(keyspace.Entry) bool { return true }
		for range 40 {
			counter += uint64(random.IntN(3))
			switch {
			case random.IntN(4) == 0:
				counter++
				lostAt = counter
			case len(written) == 0 || lostAt > 0 && random.IntN(3) == 0:
				input := planInput(nil, slices.Clone(all), nil)
				input.Used = max(lostAt, counter)
				write(mustPlan(t, input), whole)
			case lostAt > 0:
				write(written[random.IntN(len(written))].Restore(lostAt, nil, never), whole)
			default:
				current := written[len(written)-1]
				lost := random.IntN(len(all))
				remaining := slices.Delete(slices.Clone(all), lost, lost+1)
				if next, _ := keyspace.Plan(planInput(current, remaining, nil)); next != nil {
					write(next, func(e keyspace.Entry) bool {
						before, _ := current.Find(e.First)
						return before.Owner() != e.Owner()
					})
				}
			}
		}
	}
}

// TestRestoredMapHasAllHolders guards against two owners of a key: an instance that got keys under a map that was lost isn't asked to
// release them.
func TestRestoredMapHasAllHolders(t *testing.T) {
	c := candidates(1, 1, 1)
	holders := []member.Incarnation{c[0].Instance, c[1].Instance, c[2].Instance, member.NewIncarnation("d", 1), {}}
	isEnded := func(i member.Incarnation) bool { return i == holders[3] }
	restored := mustPlan(t, planInput(nil, c, nil)).Restore(30, holders, isEnded)
	input := planInput(nil, c, nil)
	input.Used, input.Holders = 30, holders
	input.Ended = isEnded
	for name, m := range map[string]*keyspace.Map{"restored": restored, "new": mustPlan(t, input)} {
		if m.Version() != 31 || len(m.Entries()) != 3 {
			t.Errorf("%s: version %d, entries %v", name, m.Version(), m.Entries())
		}
		for _, e := range m.Entries() {
			for _, i := range holders[:3] {
				if slices.Contains(e.Previous, i) == (i == e.Owner()) {
					t.Errorf("%s: keys %s of %s have the previous holders %v", name, e.Range, e.Owner(), e.Previous)
				}
			}
			if len(e.Previous) != 2 || e.Epoch != 31 {
				t.Errorf("%s: epoch %d, previous holders %v", name, e.Epoch, e.Previous)
			}
		}
	}
}

// TestRestoredMapFitsRow guards against a restored map of a large service that the store refuses, because the previous holders of each
// entry are all instances, and against holders that are lost in its row.
func TestRestoredMapFitsRow(t *testing.T) {
	const instances, ranges, rowBytes = 300, 2400, 65536
	var holders []member.Incarnation
	for n := range instances {
		holders = append(holders, member.NewIncarnation(fmt.Sprint("10.128.3.", n), 50_000_000+uint64(n)))
	}
	var entries []keyspace.Entry
	for n := range ranges {
		first := n * (1 << 16) / ranges
		entries = append(entries, keyspace.Entry{
			Range: keyspace.Range{First: keyspace.Key(first), Last: keyspace.Key((n+1)*(1<<16)/ranges - 1)}, Epoch: 1,
			Members: []member.Incarnation{holders[n%instances]},
		})
	}
	entries[0].Previous = []member.Incarnation{member.NewIncarnation("10.128.3.9", 3)}
	m, err := keyspace.NewMap(1, entries)
	if err != nil {
		t.Fatal(err)
	}
	restored := m.Restore(60_000_000, holders, never)
	content, err := restored.Encode()
	if err != nil || len(content) > rowBytes {
		t.Fatalf("%d bytes, error %v", len(content), err)
	}
	decoded, err := keyspace.Decode(content, 60_000_002)
	if err != nil {
		t.Fatal(err)
	}
	for n, e := range decoded.Entries() {
		want := restored.Entries()[n]
		slices.SortFunc(e.Previous, func(a, b member.Incarnation) int { return cmp.Compare(a.String(), b.String()) })
		slices.SortFunc(want.Previous, func(a, b member.Incarnation) int { return cmp.Compare(a.String(), b.String()) })
		if e.Epoch != want.Epoch || e.Owner() != want.Owner() || !slices.Equal(e.Previous, want.Previous) || len(e.Previous) != instances {
			t.Fatalf("keys %s: owner %s, epoch %d, %d previous holders, want %d",
				e.Range, e.Owner(), e.Epoch, len(e.Previous), len(want.Previous))
		}
	}
}
