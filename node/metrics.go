package node

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of a node.
type Metrics struct {
	Requests  *prometheus.CounterVec
	Decisions *prometheus.CounterVec
	Terms     prometheus.Counter
	LostLines prometheus.CounterFunc
	// StoreCalls holds the times of calls to the store, in seconds.
	StoreCalls *prometheus.HistogramVec
	// Handed counts orders that members carried out for this process as the scheduler, by outcome.
	Handed *prometheus.CounterVec
	// Passes holds the times of the scheduler's passes over what waits, in seconds.
	Passes prometheus.Histogram
}

// callBuckets are the bounds of the histograms, in seconds.
var callBuckets = []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30}

// passBuckets are the bounds of the histogram of passes, in seconds.
var passBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3}

// NewMetrics returns metrics that are registered.
func NewMetrics(registry prometheus.Registerer, lost func() float64) *Metrics {
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
		LostLines: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_lost_log_lines_total", Help: "Log lines that were left out to bound their volume.",
		}, lost),
		StoreCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cyclamendyke_fleet_store_call_seconds", Help: "Calls to the store by operation and result.", Buckets: callBuckets,
		}, []string{"operation", "result"}),
		Handed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_handed_orders_total", Help: "Orders to targets that other members carried out, by outcome.",
		}, []string{"outcome"}),
		Passes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cyclamendyke_fleet_pass_seconds", Help: "Passes of the scheduler over what waits.", Buckets: passBuckets,
		}),
	}
	registry.MustRegister(m.Requests, m.Decisions, m.Terms, m.LostLines, m.StoreCalls, m.Handed, m.Passes)
	return m
}
