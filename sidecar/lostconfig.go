package sidecar

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"sapphiretray/store"
)

// maxLostConfigFetches bounds the instances that a process asks for a configuration that the store has lost.
const maxLostConfigFetches = 3

// lostConfig returns the row of the configuration in effect if the store has begun another era since and has none or another one. The
// operator writes its newest configuration again; until then, this instance may be one of few that know it.
func (sc *Sidecar) lostConfig() []store.Row {
	inEffect, stored := sc.configRow.Load(), sc.config.Get(sc.adapters.ConfigKey)
	if inEffect == nil || store.Era(inEffect.Version) >= store.Era(stored.Version) ||
		!stored.Deleted && string(stored.Value) == string(inEffect.Value) {
		return nil
	}
	return []store.Row{*inEffect}
}

// adoptLostConfig puts a configuration of an earlier era than that of the copy into effect if it is newer, and returns the other rows.
func (sc *Sidecar) adoptLostConfig(rows []store.Row) []store.Row {
	era := store.Era(sc.config.Version())
	isLost := func(row store.Row) bool {
		return row.Key == sc.adapters.ConfigKey && !row.Deleted && store.Era(row.Version) < era
	}
	for _, row := range rows {
		if isLost(row) {
			klog.InfoS("config: fetched one that the store has lost", "row", row.Version, "bytes", len(row.Value))
			sc.adoptConfig([]store.Row{row}, store.Delivery{Source: store.SourceMerge}, 0)
		}
	}
	return slices.DeleteFunc(rows, isLost)
}

// fetchLostConfig asks other instances at the start of the process whether the store has lost a configuration that is in effect there. It
// does nothing if the store has never come back from a copy.
func (sc *Sidecar) fetchLostConfig(ctx context.Context) {
	if sc.config.Wait(ctx) != nil || sc.rows.Wait(ctx) != nil || store.Era(sc.config.Version()) == 0 {
		return
	}
	slots := append(sc.readers(), slotsOf(sc.reachable())...)
	asked := make(map[string]bool)
	for _, slot := range slots {
		if slot == sc.settings.Slot || asked[slot] || len(asked) == maxLostConfigFetches {
			continue
		}
		asked[slot] = true
		if _, ok := sc.fetchAndMerge(ctx, slot, sc.config, configFetchTimeout); ok {
			return
		}
	}
}
