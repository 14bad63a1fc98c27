package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/core/storepath"
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
	// LatePasses counts how often this scheduler renewed no leases for so long that they were renewed beside it.
	LatePasses prometheus.Counter
	// StorePathState is the state of this VM's own path to the store, one of storePathStates.
	StorePathState *prometheus.GaugeVec
	// StoredSubmissions counts accepted submissions by the path by which they were stored.
	StoredSubmissions *prometheus.CounterVec
	// RefusedSubmissions counts submissions that were refused for want of the store or of memory, by reason.
	RefusedSubmissions *prometheus.CounterVec
	// Tombstones counts the tombstones written for cancelled workflows that were not stored.
	Tombstones prometheus.Counter
	// SubmitSeconds is the duration of submissions in seconds, by result.
	SubmitSeconds *prometheus.HistogramVec
	// UnstoredEnds is the number of ends that this scheduler knows and has not stored yet.
	UnstoredEnds prometheus.Gauge
	// RunListBytes is the length of the list of runs that this scheduler stored last.
	RunListBytes prometheus.Gauge
	// SilentTargets is the number of targets on which the scheduler grants no lease because they do not answer.
	SilentTargets prometheus.Gauge
	// UnusableTargets is the number of entries among the descriptions of targets that name no usable target.
	UnusableTargets prometheus.Gauge
	// FinalLists counts the final lists of last schedulers that this process asked for, by outcome.
	FinalLists *prometheus.CounterVec
	// EvacuatedZones is 1 for each availability zone that operators evacuate, as far as this process knows.
	EvacuatedZones *prometheus.GaugeVec
	// StartsHeldBack counts the starts that were not sent at the last moment, by reason.
	StartsHeldBack *prometheus.CounterVec
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
	// ConfigVersion is the version of the configuration in force at this process.
	ConfigVersion prometheus.Gauge
	// ConfigAge is the time in seconds since this process's copy of what operators write was known to be complete.
	ConfigAge prometheus.Gauge
	// WatchFailures counts the calls of watches that had no answer or were refused, by prefix.
	WatchFailures *prometheus.CounterVec
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
		StorePathState: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_store_path_state", Help: "1 for the state of this VM's own path to the store.",
		}, []string{"state"}),
		StoredSubmissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_stored_submissions_total", Help: "Accepted submissions by the path by which they were stored.",
		}, []string{"path"}),
		RefusedSubmissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_refused_submissions_total", Help: "Submissions refused for want of the store or of memory, by reason.",
		}, []string{"reason"}),
		Tombstones: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_tombstones_total", Help: "Tombstones written for cancelled workflows that were not stored.",
		}),
		SubmitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cyclamendyke_fleet_submit_seconds", Help: "Submissions by result.", Buckets: storeCallBuckets,
		}, []string{"result"}),
		UnstoredEnds: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_unstored_ends", Help: "Ends of runs that this scheduler knows and has not stored yet.",
		}),
		RunListBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_run_list_bytes", Help: "Length of the list of runs that this scheduler stored last.",
		}),
		SilentTargets: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "cyclamendyke", Subsystem: "fleet", Name: "silent_targets",
			Help: "Targets on which the scheduler grants no lease because they do not answer.",
		}),
		UnusableTargets: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_unusable_targets", Help: "Entries among the descriptions of targets that name no usable target.",
		}),
		FinalLists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_final_lists_total", Help: "Final lists of last schedulers that this process asked for, by outcome.",
		}, []string{"outcome"}),
		EvacuatedZones: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cyclamendyke_fleet_evacuated_zones", Help: "1 for each availability zone that operators evacuate.",
		}, []string{"zone"}),
		LatePasses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_late_passes_total", Help: "Times that leases were renewed beside a scheduler that was late.",
		}),
		StartsHeldBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cyclamendyke_fleet_held_starts_total", Help: "Starts that this process did not send at the last moment, by reason.",
		}, []string{"reason"}),
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
	registry.MustRegister(m.Requests, m.Decisions, m.Terms, m.DroppedLogLines, m.StoreCallSeconds, m.DelegatedOrders, m.PassSeconds, m.UnstoredEnds, m.RunListBytes, m.SilentTargets, m.UnusableTargets,
		m.FinalLists, m.EvacuatedZones, m.StartsHeldBack, m.LatePasses, m.StorePathState, m.StoredSubmissions, m.RefusedSubmissions, m.SubmitSeconds, m.Tombstones)
	m.ConfigVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cyclamendyke_fleet_config_version", Help: "Version of the configuration in force.",
	})
	m.ConfigAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cyclamendyke_fleet_config_age_seconds", Help: "Time since the copy of what operators write was known to be complete.",
	})
	m.WatchFailures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cyclamendyke_fleet_watch_failures_total", Help: "Calls of watches without an answer or refused, by prefix.",
	}, []string{"prefix"})
	registry.MustRegister(m.ConfigVersion, m.ConfigAge, m.WatchFailures)
	registry.MustRegister(m.AdviceSeconds, m.AdviceTargets, m.AdviceTickets, m.AdviceFailures, m.AdviceBacklog)
	m.setStorePathState(storepath.Good)
	return m
}

// storePathStates are the values of the label of StorePathState.
var storePathStates = []storepath.State{storepath.Good, storepath.Suspect, storepath.Broken}

// setStorePathState sets the metric of one state to 1 and those of the others to 0.
func (m *Metrics) setStorePathState(current storepath.State) {
	for _, state := range storePathStates {
		value := 0.0
		if state == current {
			value = 1
		}
		m.StorePathState.WithLabelValues(string(state)).Set(value)
	}
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
