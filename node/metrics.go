package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// Metrics holds a node's Prometheus metrics.
type Metrics struct {
	Requests        *prometheus.CounterVec
	Decisions       *prometheus.CounterVec
	Terms           prometheus.Counter
	DroppedLogLines prometheus.CounterFunc
	// StoreCallSeconds is the duration of store calls in seconds.
	StoreCallSeconds *prometheus.HistogramVec
	// DelegatedOrders counts the orders that other members executed for this scheduler, by outcome.
	DelegatedOrders *prometheus.CounterVec
	// PassSeconds is the duration of scheduling passes in seconds.
	PassSeconds prometheus.Histogram
	// UnstoredEnds is the number of ends that this scheduler knows and has not stored yet.
	UnstoredEnds prometheus.Gauge
	// AdviceSeconds is the time that the advice service takes for this scheduler's requests, by queue.
	AdviceSeconds *prometheus.CounterVec
	// AdviceTargets counts the targets named in answered requests, by queue and verdict.
	AdviceTargets *prometheus.CounterVec
	// AdviceTickets counts tickets that were used or lapsed, by queue.
	AdviceTickets *prometheus.CounterVec
	// AdviceFailures counts requests that failed or were overdue, by queue.
	AdviceFailures *prometheus.CounterVec
	// AdviceBacklog is the number of steps that wait for a member to make their request.
	AdviceBacklog prometheus.Gauge
}

// storeCallBuckets are the bounds for durations of store calls, in seconds.
var storeCallBuckets = []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30}

// passBuckets are the bounds for durations of scheduling passes, in seconds.
var passBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3}

// NewMetrics returns metrics registered with registry; droppedLines returns the number of dropped
// log lines.
func NewMetrics(registry prometheus.Registerer, droppedLines func() float64) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_requests_total", Help: "Callers' requests by operation and result.",
		}, []string{"operation", "result"}),
		Decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_decisions_total", Help: "Decisions of the scheduler by event.",
		}, []string{"event"}),
		Terms: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_terms_total", Help: "Terms as the scheduler that this process began.",
		}),
		DroppedLogLines: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_lost_log_lines_total", Help: "Log lines that were left out to bound their volume.",
		}, droppedLines),
		StoreCallSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cyclamendyke_fleet_store_call_seconds", Help: "Calls to the store by operation and result.", Buckets: storeCallBuckets,
		}, []string{"operation", "result"}),
		DelegatedOrders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_handed_orders_total", Help: "Orders to targets that other members carried out, by outcome.",
		}, []string{"outcome"}),
		PassSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cyclamendyke_fleet_pass_seconds", Help: "Passes of the scheduler over what waits.", Buckets: passBuckets,
		}),
		UnstoredEnds: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_unstored_ends", Help: "Ends of runs that this scheduler knows and has not stored yet.",
		}),
		AdviceSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_advice_seconds_total", Help: "Time that the advice service takes for requests, by queue.",
		}, []string{"queue"}),
		AdviceTargets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_advice_targets_total", Help: "Targets named in answered requests for advice, by queue and verdict.",
		}, []string{"queue", "verdict"}),
		AdviceTickets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_advice_tickets_total", Help: "Tickets with which a task was started, or none, by queue.",
		}, []string{"queue", "outcome"}),
		AdviceFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_advice_failures_total", Help: "Requests for advice that failed or were overdue, by queue.",
		}, []string{"queue"}),
		AdviceBacklog: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_advice_backlog", Help: "Steps that wait for a member to make their request for advice.",
		}),
	}
	registry.MustRegister(m.Requests, m.Decisions, m.Terms, m.DroppedLogLines, m.StoreCallSeconds, m.DelegatedOrders, m.PassSeconds, m.UnstoredEnds)
	registry.MustRegister(m.AdviceSeconds, m.AdviceTargets, m.AdviceTickets, m.AdviceFailures, m.AdviceBacklog)
	return m
}

// countAdvice adds the use of advice since the last call, and sets the number of steps that wait for a member.
func (m *Metrics) countAdvice(uses map[cyclamendyke.QueueName]*dispatch.AdviceUse, backlog int) {
	m.AdviceBacklog.Set(float64(backlog))
	for name, use := range uses {
		queue := string(name)
		m.AdviceSeconds.WithLabelValues(queue).Add(use.Time.Seconds())
		m.AdviceTargets.WithLabelValues(queue, "allowed").Add(float64(use.Named - use.Disallowed))
		m.AdviceTargets.WithLabelValues(queue, "not allowed").Add(float64(use.Disallowed))
		m.AdviceTickets.WithLabelValues(queue, "used").Add(float64(use.Used))
		m.AdviceTickets.WithLabelValues(queue, "lapsed").Add(float64(use.Lapsed))
		m.AdviceFailures.WithLabelValues(queue).Add(float64(use.Failed))
	}
}
