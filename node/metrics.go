package node

import "github.com/prometheus/client_golang/prometheus"

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
	// RunListBytes is the length of the list of runs that this scheduler stored last.
	RunListBytes prometheus.Gauge
	// FinalLists counts the final lists of last schedulers that this process asked for, by outcome.
	FinalLists *prometheus.CounterVec
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
		RunListBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_run_list_bytes", Help: "Length of the list of runs that this scheduler stored last.",
		}),
		FinalLists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_final_lists_total", Help: "Final lists of last schedulers that this process asked for, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.Requests, m.Decisions, m.Terms, m.DroppedLogLines, m.StoreCallSeconds, m.DelegatedOrders, m.PassSeconds, m.UnstoredEnds, m.RunListBytes, m.FinalLists)
	return m
}
