package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

const workerBackOffMax = 5 * time.Minute

// judge counts a task's end for or against its worker and its job.
func (s *Scheduler) judge(w *worker, j *job, succeeded bool) {
	if succeeded {
		s.workerSucceeded(w)
		return
	}
	w.failures++
	if !slices.Contains(w.failedJobs, j) && len(w.failedJobs) < maxFailedJobs {
		w.failedJobs = append(w.failedJobs, j)
	}
	if w.probing || s.failsEverything(w) {
		s.backOff(w)
	}
}

func (s *Scheduler) workerSucceeded(w *worker) {
	w.failures = 0
	w.failedJobs = nil
	w.backOff = 0
	if w.probing {
		w.probing = false
		s.workerEvent(cyclamendyke.EventWorkerBack, w, "the probe succeeded")
		s.reindex(w)
	}
}

// failsEverything reports whether the failures speak against the worker: several jobs failed, or one that succeeds elsewhere did.
func (s *Scheduler) failsEverything(w *worker) bool {
	if w.failures < s.cfg.FailLimit {
		return false
	}
	succeedsElsewhere := func(j *job) bool { return j.done > 0 }
	return len(w.failedJobs) > 1 || slices.ContainsFunc(w.failedJobs, succeedsElsewhere)
}

// backOff keeps work off a worker, then lets it try one task; its failures no longer count against the jobs.
func (s *Scheduler) backOff(w *worker) {
	for _, j := range w.failedJobs {
		j.failedOn = slices.DeleteFunc(j.failedOn, func(other *worker) bool { return other == w })
	}
	w.backOff = min(max(2*w.backOff, s.cfg.WorkerBackOff), workerBackOffMax)
	w.backOffEnds = s.now.Add(w.backOff)
	w.probing = false
	s.reindex(w)
	s.workerEvent(cyclamendyke.EventBackOff, w, fmt.Sprintf("%d failures, %s", w.failures, w.backOff))
	ends := w.backOffEnds
	s.timers.set(ends, func(time.Time) {
		if s.workers[w.vm.Name] == w && w.backOffEnds.Equal(ends) {
			w.backOffEnds = time.Time{}
			w.probing = true
			s.reindex(w)
		}
	})
}

// taskFailed has a task tried on another worker, until its failures speak against the job.
func (s *Scheduler) taskFailed(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if j.attempts == nil {
		j.attempts = make(map[int]int)
	}
	j.attempts[t.id.Index]++
	s.failedStart(j, t.worker)
	switch {
	case s.failsEverywhere(j):
		s.keepResult(j, result)
		s.giveUp(j)
	case j.attempts[t.id.Index] >= s.cfg.FailLimit && !t.worker.probing:
		s.keepResult(j, result)
	default:
		s.requeue(j, t.id.Index)
	}
}

// failedStart notes that the job failed on w, unless the worker is known to fail everything.
func (s *Scheduler) failedStart(j *job, w *worker) {
	if w.backOff == 0 && !j.avoids(w) {
		j.failedOn = append(j.failedOn, w)
	}
}

// failsEverywhere reports whether the job failed, and never succeeded, on enough workers that run other work.
func (s *Scheduler) failsEverywhere(j *job) bool {
	if j.done > 0 {
		return false
	}
	distinct := 0
	for _, w := range j.failedOn {
		if w.runsOtherWork(j) {
			distinct++
		}
	}
	return distinct >= min(s.cfg.FailLimit, s.usableWorkers(j))
}

// usableWorkers returns how many workers could be tried, at least one.
func (s *Scheduler) usableWorkers(j *job) int {
	count := 0
	for _, p := range s.poolsOf(j.spec.Route, j.spec.Kind) {
		count += p.workers
	}
	return max(count, 1)
}

// giveUp ends a job that fails everywhere and clears its workers of its failures.
func (s *Scheduler) giveUp(j *job) {
	for _, w := range j.failedOn {
		w.failures = 0
		w.failedJobs = slices.DeleteFunc(w.failedJobs, func(other *job) bool { return other == j })
	}
	s.end(j, cyclamendyke.Outcome{
		Verdict: cyclamendyke.VerdictRan,
		Reason:  cyclamendyke.ReasonFailsEverywhere,
		Detail:  fmt.Sprintf("It failed on %d workers that run other work.", len(j.failedOn)),
	})
}

// gangTaskFailed has the whole gang start again, until it has failed too often.
func (s *Scheduler) gangTaskFailed(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if !result.Stopped {
		j.gangAttempts++
		s.failedStart(j, t.worker)
	}
	if j.gangAttempts >= s.cfg.FailLimit {
		s.keepResult(j, result)
		s.giveUp(j)
		return
	}
	s.failGang(j)
}
