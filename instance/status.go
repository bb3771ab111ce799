package instance

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sapphiretray/member"
	"sapphiretray/pause"
	"sapphiretray/policy"
	"sapphiretray/sheet"
)

// Status is the state of an instance as it reports it. Its fields are exported because it is sent as JSON.
type Status struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Service     string             `json:"service"`
	DataCentre  string             `json:"data_centre"`
	State       string             `json:"state"`
	LeaseValid  bool               `json:"lease_valid"`
	Witnesses   []string           `json:"witnesses"`
	Upstream    string             `json:"upstream"`
	// Revision is the revision of the table that is in effect here.
	Revision uint64 `json:"revision"`
	// Config, Sheet and Pause are the accepted versions in effect here.
	Config uint64 `json:"config"`
	Sheet  uint64 `json:"sheet"`
	Pause  uint64 `json:"pause"`
	// Maps are the versions of the maps by service.
	Maps map[string]uint64 `json:"maps"`
	// Serving are the epochs of the partitions served here.
	Serving map[int]uint64 `json:"serving"`
	// Load is the number of requests at the upstream, running and waiting.
	Load           float64         `json:"load"`
	PartitionLoads map[int]float64 `json:"partition_loads,omitempty"`
	InFlight       int             `json:"in_flight"`
	Uptime         float64         `json:"uptime_seconds"`
}

// Status returns the instance's state.
func (i *Instance) Status() Status {
	status := Status{
		Service: i.settings.Service(), DataCentre: i.settings.DataCentre(), State: i.state.State(),
		Upstream: i.health.machine.State(), Revision: i.rows.Revision(), Maps: make(map[string]uint64),
		Load: float64(i.limiter.InFlight() + i.limiter.Queued()), Uptime: time.Since(i.started).Seconds(),
	}
	status.Sheet, status.Pause = i.acceptedVersion(sheet.RowKey), i.acceptedVersion(pause.RowKey)
	if current := i.routes.current.Load(); current != nil {
		status.Config = current.Version()
		for _, s := range current.Services() {
			if m := i.directory.Map(s.Name()); m != nil {
				status.Maps[s.Name()] = m.Version()
			}
		}
	}
	if s := i.session.Load(); s != nil {
		status.Incarnation, status.LeaseValid = s.self, s.lease().Valid()
		status.Witnesses = s.record.Witnesses
		status.Serving = s.owned.Serving()
		status.InFlight = s.server.InFlight()
	}
	return status
}

func (i *Instance) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		i.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "sapphiretray", Name: name, Help: help}, value))
	}
	gauge("lease_valid", "1 if the instance's lease is valid.", func() float64 {
		if s := i.session.Load(); s != nil && s.lease().Valid() {
			return 1
		}
		return 0
	})
	gauge("partitions_served", "Partitions that the instance serves.", func() float64 {
		if s := i.session.Load(); s != nil {
			return float64(len(s.owned.Serving()))
		}
		return 0
	})
	gauge("table_revision", "Revision of the table that is in effect.", func() float64 { return float64(i.rows.Revision()) })
	i.registry.MustRegister(policy.LimiterCollector(i.settings.Service(), i.limiter), policy.BudgetCollector("peers", i.budget))
}

func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil && r.URL.Query().Has("after") {
			http.Error(w, "after must be a number", http.StatusBadRequest)
			return
		}
		events, _ := i.log.After(after)
		writeJSON(w, events)
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func partitionName(service string, p int) string { return service + "/" + strconv.Itoa(p) }
