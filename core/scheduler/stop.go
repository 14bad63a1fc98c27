package scheduler

import (
	"errors"

	"cyclamendyke"
)

// stop ends a task in the given mode and kills it if that takes too long; its room stays reserved until it is over.
func (s *Scheduler) stop(t *task, mode cyclamendyke.StopMode) {
	if t.state == taskHeld {
		return
	}
	if t.stopping && mode != cyclamendyke.StopKill {
		return
	}
	if !t.stopping {
		s.taskEvent(cyclamendyke.EventStopped, t, string(mode))
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

// stopAnswered asks for a listing when a worker says that it does not have the task.
func (s *Scheduler) stopAnswered(name cyclamendyke.WorkerName, id cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) {
	w := s.workers[name]
	if w == nil || w.tasks[id] == nil || mode == cyclamendyke.StopThrottle {
		return
	}
	t := w.tasks[id]
	if errors.Is(err, cyclamendyke.KindNotFound) || err == nil && t.state != taskRunning {
		s.askListing(w)
	}
}

// stopAll stops what still runs of a job that has ended.
func (s *Scheduler) stopAll(j *job) {
	for _, t := range j.tasksInOrder() {
		s.stop(t, cyclamendyke.StopKill)
	}
}
