package instance

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/planner"
	"sapphiretray/table"
)

// minMapRetryDelay and maxMapRetryDelay bound the delay after a map that couldn't be read from the object store, of which a random part of
// up to half is left out. The delay doubles with each failure: the object store can't serve all instances at once.
const (
	minMapRetryDelay = time.Second
	maxMapRetryDelay = 8 * time.Second
)

// pendingMaps holds the newest row of each map that isn't in effect yet. The zero value has none.
type pendingMaps struct {
	mu    sync.Mutex
	byKey map[string]table.Row
}

func (p *pendingMaps) add(row table.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKey == nil {
		p.byKey = make(map[string]table.Row)
	}
	if row.Version > p.byKey[row.Key].Version {
		p.byKey[row.Key] = row
	}
}

func (p *pendingMaps) list() []table.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]table.Row, 0, len(p.byKey))
	for _, row := range p.byKey {
		rows = append(rows, row)
	}
	return rows
}

// remove removes a row unless a newer one has been added.
func (p *pendingMaps) remove(row table.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKey[row.Key].Version == row.Version {
		delete(p.byKey, row.Key)
	}
}

// runMaps puts the maps in changed rows into effect until ctx ends. Other rows don't wait for the object store.
func (i *Instance) runMaps(ctx context.Context) {
	delay := minMapRetryDelay
	for {
		// A nil channel blocks.
		var retry <-chan time.Time
		if len(i.pendingMaps.list()) > 0 {
			retry = time.After(delay/2 + rand.N(delay/2))
			delay = min(2*delay, maxMapRetryDelay)
		} else {
			delay = minMapRetryDelay
		}
		select {
		case <-i.mapsChanged:
		case <-retry:
		case <-ctx.Done():
			return
		}
		for _, row := range i.pendingMaps.list() {
			if i.applyMap(ctx, row) {
				i.pendingMaps.remove(row)
			}
		}
	}
}

// applyMap puts the map in a row into effect. It returns false if the object store, which may be down, didn't return the map's snapshot.
func (i *Instance) applyMap(ctx context.Context, row table.Row) bool {
	name := strings.TrimPrefix(row.Key, planner.MapPrefix)
	decoded, err := planner.DecodeMapRow(row.Value)
	if err != nil {
		klog.Errorf("map: row %s can't be decoded: %v", row.Key, err)
		return true
	}
	m, err := decoded.Map(ctx, i.objects, name, i.directory.Map(name))
	if err != nil {
		klog.Errorf("map: %s can't be built: %v", name, err)
		c, _ := code.Of(err)
		return c != code.PlatformDown
	}
	if i.directory.setMap(m) && name == i.settings.Service() {
		if s := i.session.Load(); s != nil {
			s.owned.Update(m)
		}
	}
	return true
}
