package caller

import (
	"strconv"
	"time"

	"sapphiretray/code"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of a Server.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight prometheus.Gauge
	hold     prometheus.Histogram
	retries  prometheus.Counter
}

// newMetrics returns the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer, dedup *Dedup, quarantine *Quarantine) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphire_requests_total", Help: "Requests by service, result code and path (local, forwarded or none).",
		}, []string{"service", "code", "path"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sapphire_request_seconds", Help: "Time from a request's arrival to the end of its response, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"path"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sapphire_requests_in_flight", Help: "Requests in flight.",
		}),
		hold: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sapphire_hold_seconds", Help: "Time for which requests waited for a partition's owner, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sapphire_retries_total", Help: "Retries that were taken from the budget.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.inFlight, m.hold, m.retries,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "sapphire_dedup_ids", Help: "Request ids kept to run requests at most once.",
			}, func() float64 { return float64(dedup.Len()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "sapphire_quarantined_fingerprints", Help: "Fingerprints of requests refused because they crashed upstreams.",
			}, func() float64 { return float64(len(quarantine.Quarantined())) }),
		)
	}
	return m
}

// recordRequest counts a finished request and records its duration.
func (m *metrics) recordRequest(in *inboundRequest, res result, took time.Duration) {
	path := res.path
	if path == "" {
		path = pathNone
	}
	m.requests.WithLabelValues(in.service(), codeLabel(res.outcome.code), path).Inc()
	m.latency.WithLabelValues(path).Observe(took.Seconds())
}

// codeLabel returns the label value of a result code. Codes that don't exist share one value, as a peer could send any number and
// each value is a time series of its own.
func codeLabel(c code.Code) string {
	if _, ok := code.Lookup(c); !ok {
		return "unknown"
	}
	return strconv.Itoa(int(c))
}
