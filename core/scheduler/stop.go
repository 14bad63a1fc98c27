package scheduler

import (
	"errors"

	"cyclamendyke"
)

// stop ends a task in the given mode and kills it after a timeout; its resources stay reserved until it has ended.
func (s *Scheduler) stop(t *task, mode cyclamendyke.StopMode) {
	if t.state == taskReserved {
		return
	}
	if t.stopping && mode != cyclamendyke.StopKill {
		return
	}
	if !t.stopping {
		s.emitTaskEvent(cyclamendyke.EventStopped, t, string(mode))
	}
	t.stopping = true
	s.reindex(t.worker)
	s.sendStop(t.worker, t.id, mode)
	s.after(s.cfg.CheckpointTimeout, func() {
		if t.worker.tasks[t.id] == t {
			s.stop(t, cyclamendyke.StopKill)
		}
	})
}

func (s *Scheduler) sendStop(w *worker, id cyclamendyke.TaskID, mode cyclamendyke.StopMode) {
	if !s.authority.Valid(s.now) || !w.reachable() {
		return
	}
	s.emit(cyclamendyke.StopCommand{Worker: w.vm.Name, Epoch: s.authority.Epoch, Task: id, Mode: mode})
}

// handleStopAnswer requests a listing when the answer suggests that the worker doesn't run the task.
func (s *Scheduler) handleStopAnswer(name cyclamendyke.WorkerName, id cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) {
	w := s.workers[name]
	if w == nil || w.tasks[id] == nil || mode == cyclamendyke.StopThrottle {
		return
	}
	t := w.tasks[id]
	if errors.Is(err, cyclamendyke.KindNotFound) || err == nil && t.state != taskRunning {
		s.requestListing(w)
	}
}

// stopAll kills the running tasks of a job that has ended.
func (s *Scheduler) stopAll(j *job) {
	for _, t := range j.tasksInOrder() {
		s.stop(t, cyclamendyke.StopKill)
	}
}
