package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// namespace is the prefix of every metric name of this process.
const namespace = "cyclamendyke"

// metrics are the counters and gauges of the daemon.
type metrics struct {
	registry         *prometheus.Registry
	outcomes         *prometheus.CounterVec // Labelled by verdict and reason.
	inFlight         prometheus.Gauge
	workerOrders     prometheus.Counter
	resubmits        prometheus.Counter
	retryBudgetEmpty prometheus.Counter
	roleChanges      prometheus.Counter
	peerLosses       prometheus.Counter
	violations       *prometheus.CounterVec // Labelled by invariant.
	storeCalls       *prometheus.CounterVec // Labelled by operation and result.
	quotaMoves       prometheus.Counter
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	factory := promauto.With(registry)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	return &metrics{
		registry:         registry,
		outcomes:         vector("outcomes_total", "Answers given to callers.", "verdict", "reason"),
		inFlight:         factory.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "requests_in_flight", Help: "Callers' requests in progress."}),
		workerOrders:     counter("worker_orders_total", "Starts and stops handed to workers' links."),
		resubmits:        counter("resubmits_total", "Jobs sent again after an answer was lost or the role moved."),
		retryBudgetEmpty: counter("retry_budget_empty_total", "Retries refused because the retry budget was empty."),
		roleChanges:      counter("role_changes_total", "Terms of the scheduler role begun or ended here."),
		peerLosses:       counter("peer_losses_total", "Peers lost on an old and on a fresh connection."),
		violations:       vector("invariant_violations_total", "Invariants found broken.", "invariant"),
		storeCalls:       vector("store_calls_total", "Calls to the store; a waiting watch counts as one.", "operation", "result"),
		quotaMoves:       counter("quota_moves_total", "Changes of this zone's allotments that the store confirmed."),
	}
}
