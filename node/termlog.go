package node

import (
	"time"

	"cyclamendyke/core/dispatch"
	"cyclamendyke/core/invariant"
)

// logDecision counts a decision and logs it.
func (t *term) logDecision(d dispatch.Decision) {
	fields := make([]any, 0, 16)
	if d.Task != "" {
		fields = append(fields, "task", d.Task)
	} else if d.Workflow != "" {
		fields = append(fields, "workflow", d.Workflow)
	}
	if d.Target != "" {
		fields = append(fields, "target", d.Target)
	}
	if d.Run != 0 {
		fields = append(fields, "run", d.Run)
	}
	if d.Reason != "" {
		fields = append(fields, "reason", d.Reason)
	}
	if d.Count != 0 {
		fields = append(fields, "count", d.Count)
	}
	if d.Age != 0 {
		fields = append(fields, "age", d.Age.Round(time.Millisecond))
	}
	t.node.cfg.Metrics.Decisions.WithLabelValues(string(d.Event)).Inc()
	fields = append(fields, "epoch", t.epoch)
	switch d.Event {
	case dispatch.EventEvacuation, dispatch.EventSettled, dispatch.EventCapacities, dispatch.EventTargetCrashed, dispatch.EventOverfull, dispatch.EventBlamed, dispatch.EventRecordTooLong:
		t.node.cfg.Log.Info(string(d.Event), fields...) // Rare, and not to be left out when the log is limited.
	default:
		t.node.cfg.RequestLog.Info(string(d.Event), fields...)
	}
}

// logViolation logs a violated invariant of the scheduler.
func (t *term) logViolation(name invariant.Name, detail string) {
	t.node.cfg.Log.Error("invariant broken", "invariant", name, "detail", detail, "epoch", t.epoch)
}
