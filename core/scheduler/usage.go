package scheduler

import "cyclamendyke"

const headroomPercent = 110 // Of the reported use that a corrected reservation covers.

// takeUsage corrects reservations that prove too small.
func (s *Scheduler) takeUsage(w *worker, usage []cyclamendyke.TaskUsage) {
	for _, u := range usage {
		t := w.tasks[u.Task]
		if t != nil && t.state == taskRunning && !t.stopping {
			s.correct(t, u.Used)
		}
	}
}

// correct grows a reservation to the reported use; without room the task is throttled for cores and stopped for memory.
func (s *Scheduler) correct(t *task, used cyclamendyke.Resources) {
	grown := t.reserved
	if used.Cores > t.reserved.Cores {
		grown.Cores = used.Cores * headroomPercent / percent
	}
	if used.Memory > t.reserved.Memory {
		grown.Memory = used.Memory * headroomPercent / percent
	}
	if grown == t.reserved {
		return
	}
	grown = grown.Min(t.worker.capacity).Max(t.reserved)
	t.job.need = t.job.need.Max(grown.Min(t.worker.pool.usable(t.worker.capacity)))
	more := grown.Sub(t.reserved)
	room := t.worker.capacity.Sub(t.worker.reserved)
	switch {
	case more.FitsIn(room) && s.teamOf(t.job.spec.Team).allows(more):
		t.reserved = grown
		s.changeReserved(t, more)
	case used.Memory > t.reserved.Memory && !t.job.spec.NotRepeatable:
		s.stop(t, cyclamendyke.StopCheckpoint)
	case !t.throttled:
		t.throttled = true
		s.sendStop(t.worker, t.id, cyclamendyke.StopThrottle)
	}
}
