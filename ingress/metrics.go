package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// metrics counts callers' requests by result and measures their latency.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	waited   prometheus.Histogram
	retries  prometheus.Counter
	places   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphiretray_requests_total", Help: "Requests of callers by kind and result code.",
		}, []string{"kind", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sapphiretray_request_seconds",
			Help:    "Time from the arrival of a request to its answer, by kind and whether it was served.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 11),
		}, []string{"kind", "served"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sapphiretray_queue_seconds", Help: "Time for which served requests waited for a slot of their upstream.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 11),
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sapphiretray_repeats_total", Help: "Requests that were sent to an upstream once more within the retry budget.",
		}),
		places: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphiretray_placements_total",
			Help: "Instances chosen for requests without a key, by service and why the data centre was chosen.",
		}, []string{"service", "reason"}),
	}
	registerer.MustRegister(m.requests, m.latency, m.waited, m.retries, m.places)
	return m
}

// served records a request to which an upstream responded.
func (m *metrics) served(kind routing.Kind, response *gateway.Response, took time.Duration) {
	m.requests.WithLabelValues(kind.String(), codeLabel(code.OK)).Inc()
	m.latency.WithLabelValues(kind.String(), "yes").Observe(took.Seconds())
	m.waited.Observe(response.Waited.Seconds())
}

// placed records that an instance was chosen for a request.
func (m *metrics) placed(service, reason string) { m.places.WithLabelValues(service, reason).Inc() }

// failed records a request that ended with a failure.
func (m *metrics) failed(kind routing.Kind, c code.Code, took time.Duration) {
	m.requests.WithLabelValues(kind.String(), codeLabel(c)).Inc()
	m.latency.WithLabelValues(kind.String(), "no").Observe(took.Seconds())
}

// codeLabel returns the label of a result code. Codes that don't exist share one label, because another instance could send any
// number.
func codeLabel(c code.Code) string {
	if _, ok := code.Lookup(c); !ok {
		return "unknown"
	}
	return strconv.Itoa(int(c))
}
