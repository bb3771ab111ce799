package sidecar

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/forward"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// TestConfigOverdue guards against links that are saturated because instances fetch a large configuration from each other while the
// store delivers it, and against an instance that waits for a store that doesn't deliver it.
func TestConfigOverdue(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		name        string
		reachable   bool
		behindSince time.Time
		want        bool
	}{
		{"no instance has a newer one", true, time.Time{}, false},
		{"the store delivers it", true, now.Add(-500 * time.Millisecond), false},
		{"the store doesn't deliver it", true, now.Add(-time.Second), true},
		{"the store is unreachable", false, now, true},
	}
	for _, test := range tests {
		if got := isOverdue(test.reachable, test.behindSince, now); got != test.want {
			t.Errorf("%s: overdue %v, want %v", test.name, got, test.want)
		}
	}
}

// TestConfigOutdated guards against an instance that takes itself for up to date while others have a newer configuration, or for
// outdated for ever after an announcement of a configuration that it has.
func TestConfigOutdated(t *testing.T) {
	sc := New(Settings{Slot: "a"}, Adapters{
		ConfigTable: "op", ConfigKey: "config",
		DecodeConfig: func([]byte) (*routing.Table, error) { return nil, errors.New("invalid") },
	})
	arrive := func(row uint64) { sc.config.Merge([]store.Row{{Key: "config", Version: row}}) }
	announce := func(row uint64) { sc.ObserveVersions(forward.Versions{Slot: "b", Config: row}) }
	tests := []struct {
		name  string
		event func()
		want  bool
	}{
		{"start", func() {}, false},
		{"first configuration", func() { arrive(4) }, false},
		{"announcement of the same", func() { announce(4) }, false},
		{"announcement of newer ones", func() { announce(6); announce(7) }, true},
		{"one of them has arrived", func() { arrive(6) }, true},
		{"the newest is refused", func() { arrive(7) }, false},
		{"announcement out of range", func() { announce(store.MaxVersion + 1) }, false},
		{"announcement that crossed the arrival", func() { sc.configLag.announce("b", 7, time.Now()) }, false},
	}
	for _, test := range tests {
		test.event()
		if got := sc.isConfigOutdated(); got != test.want {
			t.Errorf("%s: outdated %v, want %v", test.name, got, test.want)
		}
	}
}

// TestOutdatedWhileDecoding guards against a 404 for a route of a configuration that has arrived but isn't in effect yet, which takes a
// slow processor a tenth of a second.
func TestOutdatedWhileDecoding(t *testing.T) {
	var sc *Sidecar
	var while []bool
	sc = New(Settings{}, Adapters{ConfigKey: "config", DecodeConfig: func([]byte) (*routing.Table, error) {
		while = append(while, sc.isConfigOutdated())
		return routing.New(uint64(len(while)), routing.Limits{}, nil, nil)
	}})
	for version := range uint64(2) {
		sc.config.Merge([]store.Row{{Key: "config", Version: version + 1}})
	}
	if !slices.Equal(while, []bool{true, true}) || sc.isConfigOutdated() {
		t.Errorf("outdated while decoding: %v, afterwards: %v; want true twice, then false", while, sc.isConfigOutdated())
	}
}

// TestConfigBatch guards against a configuration that takes effect late because older ones that arrived with it are decoded first, and
// against a valid one that is lost because a newer one is invalid.
func TestConfigBatch(t *testing.T) {
	const decodeTime = 300 * time.Millisecond
	tests := []struct {
		name string
		// values are the configurations that arrive together, oldest first.
		values []string
		want   uint64
		within time.Duration
	}{
		{"eight", []string{"11", "12", "13", "14", "15", "16", "17", "18"}, 18, decodeTime},
		{"the newest is invalid", []string{"11", "12", "invalid"}, 12, 2 * decodeTime},
		{"only an older one is valid", []string{"9", "invalid"}, 10, 2 * decodeTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sc := New(Settings{}, Adapters{ConfigKey: "config", DecodeConfig: func(content []byte) (*routing.Table, error) {
					time.Sleep(decodeTime)
					version, err := strconv.ParseUint(string(content), 10, 64)
					if err != nil {
						return nil, err
					}
					return routing.New(version, routing.Limits{}, nil, nil)
				}})
				sc.config.Merge([]store.Row{{Key: "config", Version: 1, Value: []byte("10")}})
				rows := make([]store.Row, 0, len(test.values))
				for n, value := range test.values {
					rows = append(rows, store.Row{Key: "config", Version: uint64(n + 2), Value: []byte(value)})
				}
				start := time.Now()
				sc.config.Merge(rows)
				if got := sc.routes.Load().Version(); got != test.want {
					t.Errorf("version %d is in effect, want %d", got, test.want)
				}
				if took := time.Since(start); took > test.within {
					t.Errorf("took %v, want at most %v", took, test.within)
				}
			})
		})
	}
}

// TestAnnouncersAreBounded guards against a faulty instance that announces versions under ever new slots.
func TestAnnouncersAreBounded(t *testing.T) {
	sc := New(Settings{Slot: "a"}, Adapters{ConfigTable: "op", ConfigKey: "config"})
	for n := range uint64(2 * maxAnnouncers) {
		sc.ObserveVersions(forward.Versions{Slot: strconv.FormatUint(n, 10), Config: n + 1, Rows: n + 1})
	}
	sc.ObserveVersions(forward.Versions{Slot: "1", Rows: 1 << 20})
	if len(sc.announced) > maxAnnouncers || len(sc.configLag.holders) > maxAnnouncers {
		t.Errorf("%d and %d slots are kept", len(sc.announced), len(sc.configLag.holders))
	}
	if got := sc.announcedBy("1"); got != 1<<20 {
		t.Errorf("the newest version of a known slot is %d", got)
	}
	long := strings.Repeat("a", maxSlotBytes+1)
	clear(sc.announced)
	if sc.ObserveVersions(forward.Versions{Slot: long, Rows: 1 << 30}); len(sc.announced) > 0 {
		t.Error("a slot with a long name is kept")
	}
}
