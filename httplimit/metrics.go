package httplimit

import "github.com/prometheus/client_golang/prometheus"

// Register registers the metrics of the budget. Their values are read at each scrape.
func (b *Budget) Register(registerer prometheus.Registerer) {
	for _, gauge := range []struct {
		name, help string
		value      func(s BudgetStats) float64
	}{
		{"limit_bytes", "Memory for requests and responses of callers.", func(s BudgetStats) float64 { return float64(s.Limit) }},
		{"used_bytes", "Memory that requests and responses of callers hold.", func(s BudgetStats) float64 { return float64(s.Used) }},
		{"claims", "Requests and heads of callers that may hold memory.", func(s BudgetStats) float64 { return float64(s.Claims) }},
	} {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sapphiretray_message_memory_" + gauge.name, Help: gauge.help,
		}, func() float64 { return gauge.value(b.Stats()) }))
	}
	for outcome, value := range map[string]func(s BudgetStats) uint64{
		"refused": func(s BudgetStats) uint64 { return s.Refused },
		"revoked": func(s BudgetStats) uint64 { return s.Revoked },
	} {
		registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sapphiretray_messages_total",
			Help: "Messages of callers for which there was no memory (refused), and those that gave way to others because they had " +
				"stopped or their callers held much (revoked).",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 { return float64(value(b.Stats())) }))
	}
}
