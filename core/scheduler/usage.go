package scheduler

import "cyclamendyke"

const reservationPercentOfUsage = 110 // A grown reservation is this percentage of the reported use.

// handleUsage grows the reservations of running tasks that use more than they reserved.
func (s *Scheduler) handleUsage(w *worker, usage []cyclamendyke.TaskUsage) {
	for _, u := range usage {
		t := w.tasks[u.Task]
		if t != nil && t.state == taskRunning && !t.stopping {
			s.growReservation(t, u.Used)
		}
	}
}

// growReservation raises a task's reservation and its job's need if the reported use exceeds the
// reservation. If the new reservation doesn't fit, it stops a repeatable task that exceeds its
// memory and throttles any other task.
func (s *Scheduler) growReservation(t *task, used cyclamendyke.Resources) {
	grown := t.reserved
	if used.Cores > t.reserved.Cores {
		grown.Cores = used.Cores * reservationPercentOfUsage / percent
	}
	if used.Memory > t.reserved.Memory {
		grown.Memory = used.Memory * reservationPercentOfUsage / percent
	}
	if grown == t.reserved {
		return
	}
	grown = grown.Min(t.worker.capacity).Max(t.reserved)
	t.job.need = t.job.need.Max(grown.Min(t.worker.pool.usable(t.worker.capacity)))
	increase := grown.Sub(t.reserved)
	available := t.worker.capacity.Sub(t.worker.reserved)
	switch {
	case increase.FitsIn(available) && s.ensureTeam(t.job.spec.Team).allows(increase):
		t.reserved = grown
		s.changeReserved(t, increase)
	case used.Memory > t.reserved.Memory && !t.job.spec.NotRepeatable:
		s.stop(t, cyclamendyke.StopCheckpoint)
	case !t.throttled:
		t.throttled = true
		s.sendStop(t.worker, t.id, cyclamendyke.StopThrottle)
	}
}
