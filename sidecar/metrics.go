package sidecar

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiretray/gateway"
	"sapphiretray/policy"
	"sapphiretray/store"
)

// newRewritten returns the counter of rows that were written again.
func newRewritten() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphiretray_rows_written_again_total",
		Help: "Writes of the own record or the key map after another writer had replaced it or the store had lost it.",
	}, []string{"row"})
}

// newRevoked returns the counter of records by which this instance revoked others.
func newRevoked() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphiretray_lost_records_total",
		Help: "Records of lost instances that were written, by state. Revoked: too few witnesses responded to prove the expiry.",
	}, []string{"state"})
}

// registerMetrics registers the metrics of the process. Their values are read at each scrape.
func (sc *Sidecar) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		sc.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "sapphiretray_" + name, Help: help}, value))
	}
	counter := func(name, help string, value func(gateway.Stats) uint64) {
		sc.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "sapphiretray_" + name, Help: help},
			func() float64 { return float64(value(sc.gateway.Stats())) }))
	}
	boolValue := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("upstream_running", "Requests that run at the upstream.", func() float64 { return float64(sc.gateway.Load().Running) })
	gauge("upstream_waiting", "Requests that wait for a slot.", func() float64 { return float64(sc.gateway.Load().Waiting) })
	gauge("upstream_slots", "Requests that may run at once.", func() float64 { return float64(sc.gateway.Load().Slots) })
	gauge("upstream_slowness", "Mean time that work took recently, as a multiple of the usual time; 0 if the upstream doesn't report it.",
		sc.gateway.MeanSlowness)
	gauge("upstream_usable", "1 if the upstream takes work.", func() float64 { return boolValue(sc.gateway.State().Usable()) })
	gauge("upstream_start_rate", "Requests per second that may begin while the upstream is cold, 0 if it isn't.",
		func() float64 { return sc.gateway.Load().StartRate })
	gauge("upstream_cold_seconds", "How long requests stay limited because the upstream is or may be cold.",
		func() float64 { return sc.gateway.ColdFor().Seconds() })
	gauge("lease_valid", "1 if the lease of the instance is valid.", func() float64 { return boolValue(sc.endpoint.Lease().Valid()) })
	gauge("lease_generation", "How often the lease was acquired.", func() float64 { return float64(sc.endpoint.Lease().Generation()) })
	gauge("keys_served", "Keys that the upstream may serve now.", sc.keysServed)
	gauge("map_version", "Version of the newest map of the local service.", func() float64 {
		return float64(sc.directory.keyMap(sc.settings.Service).keys.Version())
	})
	gauge("config_version", "Version of the configuration in force.", func() float64 { return float64(sc.routes.Load().Version()) })
	gauge("config_outdated", "1 while a newer configuration than that in force is known to exist or can't be ruled out.",
		func() float64 { return boolValue(sc.routes.Load() == nil || sc.isConfigOutdated()) })
	gauge("store_reachable", "1 if the last calls to the store for the configuration and for the rows succeeded.",
		func() float64 { return boolValue(sc.config.Reachable() && sc.rows.Reachable()) })
	sc.registry.MustRegister(policy.RoomCollector(func() []float64 { return sc.gateway.Load().Room }, sc.gateway.CallRoom))
	sc.registerStoreMetrics("config", sc.config)
	sc.registerStoreMetrics("rows", sc.rows)
	gauge("store_era", "Era of the store in the newest complete copy of the rows.", func() float64 {
		return float64(store.Era(sc.rows.Version()))
	})
	sc.registry.MustRegister(sc.rewritten, sc.revoked)
	gauge("lease_unbacked_seconds", "Time for which the lease may have been revoked without this instance's knowledge; 0 without a lease.",
		func() float64 {
			if !sc.endpoint.Lease().Valid() {
				return 0
			}
			return sc.endpoint.Unbacked(time.Now()).Seconds()
		})
	gauge("instances_unreachable", "Instances that did not answer.", func() float64 {
		return float64(len(sc.directory.unreachableSlots()))
	})
	sc.memory.Register(sc.registry)
	gauge("upstream_body_bytes", "Large bodies that the upstream may hold.", func() float64 { return float64(sc.gateway.SentBytes()) })
	counter("upstream_connections_total", "Connections that were opened to the upstream.",
		func(s gateway.Stats) uint64 { return s.Connections })
	counter("upstream_answers_total", "Responses of the upstream.",
		func(s gateway.Stats) uint64 { return s.Responses })
	counter("upstream_refused_total", "Requests that were refused beside the upstream.",
		func(s gateway.Stats) uint64 { return s.Refused })
	counter("upstream_cold_refused_total", "Requests that were refused because the upstream was cold.",
		func(s gateway.Stats) uint64 { return s.ColdRefused })
	gauge("evacuated_data_centres", "Data centres that are evacuated.",
		func() float64 { return float64(len(sc.directory.evacuations.DataCentres())) })
	gauge("evacuated", "1 while the data centre of the instance is evacuated, 2 once its upstream gets no requests because of that.",
		func() float64 {
			return boolValue(sc.directory.evacuations.Has(sc.settings.DataCentre)) + boolValue(sc.isClosed())
		})
	counter("upstream_evacuated_total", "Requests that were refused beside the upstream because its data centre is evacuated.",
		func(s gateway.Stats) uint64 { return s.Evacuated })
	counter("upstream_unknown_total", "Requests with an unknown outcome.",
		func(s gateway.Stats) uint64 { return s.Unknown })
}

// registerStoreMetrics registers the metrics of the calls that keep a copy of a table of the store up to date.
func (sc *Sidecar) registerStoreMetrics(copyName string, f *store.Follower) {
	for outcome, count := range map[string]func(s store.Stats) uint64{
		"answered": store.Stats.Answered, "failed": store.Stats.Failed, "unanswered": store.Stats.Unanswered,
		"abandoned": store.Stats.Abandoned,
	} {
		sc.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "sapphiretray_store_calls_total",
			Help:        "Calls to the store by outcome. Abandoned calls also count as unanswered, and these as failed.",
			ConstLabels: prometheus.Labels{"copy": copyName, "outcome": outcome},
		}, func() float64 { return float64(count(f.Stats())) }))
	}
	sc.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sapphiretray_store_response_age_seconds", Help: "Time since the store last responded, -1 before the first response.",
		ConstLabels: prometheus.Labels{"copy": copyName},
	}, func() float64 {
		age, ok := f.ConfirmedFor()
		if !ok {
			return -1
		}
		return age.Seconds()
	}))
}

// keysServed returns the number of keys that the upstream may serve.
func (sc *Sidecar) keysServed() float64 {
	s := sc.session.Load()
	if s == nil || s.grantManager == nil {
		return 0
	}
	served := 0
	for _, keys := range s.grantManager.Serving() {
		served += keys.Size()
	}
	return float64(served)
}
