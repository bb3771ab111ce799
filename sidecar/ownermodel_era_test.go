package sidecar

import (
	"flag"
	"slices"
	"testing"
	"time"

	"sapphiretray/store"
)

var (
	eraSeeds = flag.Int("owner.eraseeds", 4, "number of seeds that TestOwnershipModelEras runs")
	eraSeed  = flag.Uint64("owner.eraseed", 20, "first seed that TestOwnershipModelEras runs")
)

// failedEraSeeds are seeds that failed once. In 10263 an instance without a lease didn't join again, because the store counted as
// unreachable for a minute after a listing had ended at a new era.
var failedEraSeeds = []uint64{10263}

// TestOwnershipModelEras guards against conclusions from versions, incarnation numbers and epochs that the store gives out again after it
// has come back from a copy. It runs the model of TestOwnershipModel, whose store now and then is away and loses its last seconds.
func TestOwnershipModelEras(t *testing.T) {
	seeds := seedsFrom(*eraSeed, *eraSeeds)
	if len(seeds) > 1 {
		seeds = append(seeds, failedEraSeeds...)
	}
	runOwnershipModel(t, seeds, func(m *ownerModel) { m.losesWrites = true })
}

// storeFromCopy makes the store unavailable for a moment and lets it come back from a copy that is some seconds old.
var storeFromCopy = ownerTrouble{"store from a copy", func(m *ownerModel, _ *ownerNode, d *draws) {
	away, age := d.between(100*time.Millisecond, 3*time.Second), d.between(200*time.Millisecond, 8*time.Second)
	if d.chance(0.5) {
		return
	}
	m.locked(func() {
		copied := time.Now().Add(-age)
		m.store.downUntil = time.Now().Add(away)
		m.group.Go(func() {
			time.Sleep(away)
			m.locked(func() { m.store.restore(copied) })
		})
	})
}}

// restore replaces the content of the store by a copy of a time. The model's mutex must be held.
func (s *ownerStore) restore(copied time.Time) {
	kept := slices.IndexFunc(s.history, func(c ownerChange) bool { return c.at.After(copied) })
	if kept < 0 {
		kept = len(s.history)
	}
	before := s.version
	s.history = slices.Clip(s.history[:kept])
	s.version, s.rows = 0, make(map[string]store.Row)
	for _, c := range s.history {
		s.version, s.rows[c.row.Key] = c.row.Version, c.row
	}
	s.dropped = min(s.dropped, s.version)
	s.era++
	s.m.record("the store comes back from a copy with version %d instead of %d, era %d", s.version, before, s.era)
	close(s.changed)
	s.changed = make(chan struct{})
}
