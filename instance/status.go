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

// Status is the state of an instance as it reports it. Its fields are exported because they are encoded as JSON.
type Status struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Service     string             `json:"service"`
	DataCentre  string             `json:"data_centre"`
	// State and Upstream are the states of the state charts "instance" and "upstream".
	State      string   `json:"state"`
	LeaseValid bool     `json:"lease_valid"`
	Witnesses  []string `json:"witnesses"`
	Upstream   string   `json:"upstream"`
	// Revision is the revision of the table up to which this instance has all rows.
	Revision uint64 `json:"revision"`
	// Config, Sheet and Pause are the accepted versions in effect at this instance; 0 if there is none.
	Config uint64 `json:"config"`
	Sheet  uint64 `json:"sheet"`
	Pause  uint64 `json:"pause"`
	// Maps holds the version of the newest known map by service.
	Maps map[string]uint64 `json:"maps"`
	// Serving holds the epoch of each partition that this instance serves.
	Serving map[int]uint64 `json:"serving"`
	// Load is the number of requests that run at the upstream or wait for it.
	Load float64 `json:"load"`
	// PartitionLoads is the load by partition; instances don't report it yet.
	PartitionLoads map[int]float64 `json:"partition_loads,omitempty"`
	// InFlight is the number of callers' and forwarded requests in progress.
	InFlight int `json:"in_flight"`
	// Uptime is in seconds.
	Uptime  float64        `json:"uptime_seconds"`
	Control ControlTraffic `json:"control"`
}

// ControlTraffic counts the control traffic: the heartbeats of the current incarnation with their IPv4 and UDP headers, and the payload
// of the control calls that this instance has made since its start.
type ControlTraffic struct {
	HeartbeatsSent uint64 `json:"heartbeats_sent"`
	SentBytes      uint64 `json:"sent_bytes"`
	ReceivedBytes  uint64 `json:"received_bytes"`
}

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const datagramHeaderBytes = 28

func (s *session) control() ControlTraffic {
	sent, sentBytes := s.endpoint.Traffic().Sent()
	received, receivedBytes := s.endpoint.Traffic().Received()
	calls := &s.instance.controlTraffic
	return ControlTraffic{
		HeartbeatsSent: sent,
		SentBytes:      sentBytes + sent*datagramHeaderBytes + calls.Sent(),
		ReceivedBytes:  receivedBytes + received*datagramHeaderBytes + calls.Received(),
	}
}

// Status returns the instance's state.
func (i *Instance) Status() Status {
	status := Status{
		Service: i.settings.Service(), DataCentre: i.settings.DataCentre(), State: i.state.State(),
		Upstream: i.health.machine.State(), Revision: i.rowCache.Revision(), Maps: make(map[string]uint64),
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
		status.Control = s.control()
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
	gauge("table_revision", "Revision of the table that is in effect.", func() float64 { return float64(i.rowCache.Revision()) })
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
