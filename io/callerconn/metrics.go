package callerconn

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke/core/callers"
)

// Metrics exposes what callers hold and how many were turned away.
type Metrics struct {
	registry prometheus.Registerer
}

// NewMetrics returns metrics that are registered with registry once a guard uses them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	return &Metrics{registry}
}

// reasons are the values of the label of the counter.
var reasons = []callers.Reason{
	callers.ReasonConnections, callers.ReasonMemory, callers.ReasonLargeRequest, callers.ReasonLargeHead, callers.ReasonSlowHead,
	callers.ReasonSlowBody, callers.ReasonIdle, callers.ReasonUnread,
}

// observe registers metrics of a budget.
func (m *Metrics) observe(budget *callers.Budget) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_caller_connections", Help: "Open connections of callers.",
		}, func() float64 { return float64(budget.Usage().Connections) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_caller_bytes", Help: "Memory that callers are charged for.",
		}, func() float64 { return float64(budget.Usage().Bytes) }),
	)
	for _, reason := range reasons {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_callers_turned_away_total", Help: "Connections and requests of callers turned away, by reason.",
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return float64(budget.Usage().TurnedAway[reason]) }))
	}
}

// reporter logs how many callers were turned away, a line in logInterval at most.
type reporter struct {
	log    *log.Logger
	budget *callers.Budget
	last   map[callers.Reason]int64
	at     time.Duration
}

func (r *reporter) report(now time.Duration) {
	if r.last != nil && now-r.at < logInterval {
		return
	}
	usage := r.budget.Usage()
	fields := []any{"connections", usage.Connections, "bytes", usage.Bytes}
	for _, reason := range reasons {
		if count := usage.TurnedAway[reason] - r.last[reason]; count > 0 && reason != callers.ReasonIdle {
			fields = append(fields, reason, count)
		}
	}
	const withoutReasons = 4
	if len(fields) > withoutReasons {
		r.log.Warn("callers turned away", fields...)
		r.at = now
	}
	r.last = usage.TurnedAway
}
