package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// silentConfigStore is a store that responds to calls for the rows and, after the first listing, to none for the configuration.
type silentConfigStore struct{ silentStore }

func (s *silentConfigStore) List(ctx context.Context, table string) ([]store.Row, uint64, error) {
	if table == TableName {
		return nil, 1, nil
	}
	return s.silentStore.List(ctx, table)
}

func (s *silentConfigStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	if table == TableName {
		time.Sleep(wait)
		return nil, after, ctx.Err()
	}
	return s.silentStore.Changes(ctx, table, after, wait)
}

// gaugeValue returns the value of a metric without labels.
func gaugeValue(t *testing.T, sc *Sidecar, name string) float64 {
	t.Helper()
	families, err := sc.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("there is no metric %s", name)
	return 0
}

// TestMetricsTellOldConfig guards against an instance whose metrics look sound while its configuration is, or may be, an old one.
func TestMetricsTellOldConfig(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := New(Settings{Slot: "10.0.0.0", Service: "books"}, Adapters{
			Store: &silentConfigStore{}, ConfigTable: "op", ConfigKey: "config",
			DecodeConfig: func(content []byte) (*routing.Table, error) {
				return routing.New(uint64(content[0]-'0'), routing.Limits{}, nil, nil)
			},
		})
		sc.gateway = gateway.New(new(errgroup.Group), "books", "", struct{ gateway.Protocol }{})
		sc.endpoint = heartbeat.New(member.NewIncarnation("10.0.0.0", 0))
		sc.registerMetrics()
		if got := gaugeValue(t, sc, "sapphiretray_config_outdated"); got != 1 {
			t.Errorf("config_outdated is %v without a configuration, want 1", got)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		for _, run := range []func(context.Context){sc.config.Run, sc.rows.Run} {
			group.Go(func() { run(ctx) })
		}
		check := func(when string, reachable, outdated float64) {
			t.Helper()
			if got := gaugeValue(t, sc, "sapphiretray_store_reachable"); got != reachable {
				t.Errorf("%s: store_reachable is %v, want %v", when, got, reachable)
			}
			if got := gaugeValue(t, sc, "sapphiretray_config_outdated"); got != outdated {
				t.Errorf("%s: config_outdated is %v, want %v", when, got, outdated)
			}
		}
		time.Sleep(10 * time.Millisecond)
		check("after the listings", 1, 0)
		sc.ObserveVersions(forward.Versions{Slot: "10.0.0.1", Config: 2})
		check("a newer configuration announced", 1, 1)
		sc.config.Merge([]store.Row{{Table: "op", Key: "config", Version: 2, Value: []byte("2")}})
		check("it has arrived", 1, 0)
		time.Sleep(time.Minute)
		check("calls for the configuration aren't answered", 0, 1)
	})
}
