package policy

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// collector implements prometheus.Collector for values that are read when they are scraped.
type collector struct {
	descriptions []*prometheus.Desc
	collect      func(descriptions []*prometheus.Desc, metrics chan<- prometheus.Metric)
}

func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		descriptions <- description
	}
}

func (c *collector) Collect(metrics chan<- prometheus.Metric) { c.collect(c.descriptions, metrics) }

// describe returns the description of a metric with one constant label and optional variable ones.
func describe(label, value, name, help string, variable ...string) *prometheus.Desc {
	return prometheus.NewDesc("sapphiretray_"+name, help, variable, prometheus.Labels{label: value})
}

func gauge(metrics chan<- prometheus.Metric, d *prometheus.Desc, value float64) {
	metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
}

func counter(metrics chan<- prometheus.Metric, d *prometheus.Desc, value uint64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

// LimiterCollector returns a collector for the limiter and the queue of an upstream.
func LimiterCollector(upstream string, limiter *Limiter) prometheus.Collector {
	describe := func(name, help string, variable ...string) *prometheus.Desc {
		return describe("upstream", upstream, name, help, variable...)
	}
	return &collector{
		descriptions: []*prometheus.Desc{
			describe("limiter_limit", "Requests that may run at once; 0 means no limit."),
			describe("limiter_in_flight", "Requests that are running."),
			describe("queue_length", "Requests that wait for admission."),
			describe("limiter_admitted_total", "Requests that were admitted.", "importance"),
			describe("queue_shed_total", "Requests that were shed.", "importance"),
			describe("queue_late_total", "Requests that were rejected because their deadline can't be met.", "importance"),
		},
		collect: func(d []*prometheus.Desc, metrics chan<- prometheus.Metric) {
			gauge(metrics, d[0], float64(limiter.Limit()))
			gauge(metrics, d[1], float64(limiter.InFlight()))
			gauge(metrics, d[2], float64(limiter.Queued()))
			counts := limiter.Counts()
			for importance := range MaxImportance + 1 {
				label := strconv.Itoa(importance)
				counter(metrics, d[3], counts.Admitted[importance], label)
				counter(metrics, d[4], counts.Shed[importance], label)
				counter(metrics, d[5], counts.Late[importance], label)
			}
		},
	}
}

// BudgetCollector returns a collector for a retry budget.
func BudgetCollector(name string, budget *RetryBudget) prometheus.Collector {
	return &collector{
		descriptions: []*prometheus.Desc{
			describe("budget", name, "retry_first_attempts_total", "First attempts."),
			describe("budget", name, "retry_retries_total", "Retries within the budget."),
			describe("budget", name, "retry_refused_total", "Retries that the budget refused."),
		},
		collect: func(d []*prometheus.Desc, metrics chan<- prometheus.Metric) {
			counts := budget.Counts()
			counter(metrics, d[0], counts.Attempts)
			counter(metrics, d[1], counts.Retries)
			counter(metrics, d[2], counts.Refused)
		},
	}
}

// EjectorCollector returns a collector for an ejector.
func EjectorCollector[K comparable](name string, ejector *Ejector[K]) prometheus.Collector {
	return &collector{
		descriptions: []*prometheus.Desc{
			describe("ejector", name, "ejector_targets", "Known targets."),
			describe("ejector", name, "ejector_ejected", "Targets that are out of use."),
		},
		collect: func(d []*prometheus.Desc, metrics chan<- prometheus.Metric) {
			known, ejected := ejector.Counts()
			gauge(metrics, d[0], float64(known))
			gauge(metrics, d[1], float64(ejected))
		},
	}
}

// RoomCollector returns a collector for the room that an upstream has for the requests of each priority, and for the share of each route's
// requests that the services which they call have room for. room and admitted are called at each scrape.
func RoomCollector(room func() []float64, admitted func() map[string]float64) prometheus.Collector {
	return &collector{
		descriptions: []*prometheus.Desc{
			prometheus.NewDesc("sapphiretray_upstream_room",
				"Room for requests of a priority as a multiple of what they ask for; below 1, the share that can be served.",
				[]string{"priority"}, nil),
			prometheus.NewDesc("sapphiretray_call_room",
				"Share of the requests of a route that is admitted, by the room of the services that they call.", []string{"route"}, nil),
		},
		collect: func(d []*prometheus.Desc, metrics chan<- prometheus.Metric) {
			for p, multiple := range room() {
				metrics <- prometheus.MustNewConstMetric(d[0], prometheus.GaugeValue, multiple, strconv.Itoa(p))
			}
			for route, share := range admitted() {
				metrics <- prometheus.MustNewConstMetric(d[1], prometheus.GaugeValue, share, route)
			}
		},
	}
}
