package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

const maxWorkerBackOff = 5 * time.Minute

// recordTaskEnd records a task's success or failure on its worker, and backs the worker off if
// it fails its probe or fails too often.
func (s *Scheduler) recordTaskEnd(w *worker, j *job, succeeded bool) {
	if succeeded {
		s.recordWorkerSuccess(w)
		return
	}
	w.consecutiveFailures++
	if !slices.Contains(w.failedJobs, j) && len(w.failedJobs) < maxFailedJobs {
		w.failedJobs = append(w.failedJobs, j)
	}
	if w.probing || s.isWorkerAtFault(w) {
		s.startBackOff(w)
	}
}

func (s *Scheduler) recordWorkerSuccess(w *worker) {
	w.consecutiveFailures = 0
	w.failedJobs = nil
	w.backOff = 0
	if w.probing {
		w.probing = false
		s.emitWorkerEvent(cyclamendyke.EventWorkerBack, w, "the probe succeeded")
		s.reindex(w)
	}
}

// isWorkerAtFault reports whether enough failures in a row point to the worker instead of its
// jobs: several jobs failed on it, or one that succeeds elsewhere.
func (s *Scheduler) isWorkerAtFault(w *worker) bool {
	if w.consecutiveFailures < s.cfg.MaxFailures {
		return false
	}
	succeedsElsewhere := func(j *job) bool { return j.done > 0 }
	return len(w.failedJobs) > 1 || slices.ContainsFunc(w.failedJobs, succeedsElsewhere)
}

// startBackOff stops placing tasks on a worker for a growing delay, then probes it with one
// task; its failures no longer count against the jobs.
func (s *Scheduler) startBackOff(w *worker) {
	for _, j := range w.failedJobs {
		j.failedOn = slices.DeleteFunc(j.failedOn, func(other *worker) bool { return other == w })
	}
	w.backOff = min(max(2*w.backOff, s.cfg.InitialWorkerBackOff), maxWorkerBackOff)
	w.backOffUntil = s.now.Add(w.backOff)
	w.probing = false
	s.reindex(w)
	s.emitWorkerEvent(cyclamendyke.EventBackOff, w, fmt.Sprintf("%d failures, %s", w.consecutiveFailures, w.backOff))
	until := w.backOffUntil
	s.timers.set(until, func(time.Time) {
		if s.workers[w.vm.Name] == w && w.backOffUntil.Equal(until) {
			w.backOffUntil = time.Time{}
			w.probing = true
			s.reindex(w)
		}
	})
}

// handleTaskFailure retries the task, on another worker where it can, until it or its job has failed too often.
func (s *Scheduler) handleTaskFailure(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if j.taskFailures == nil {
		j.taskFailures = make(map[int]int)
	}
	j.taskFailures[t.id.Index]++
	s.recordJobFailure(j, t.worker)
	switch {
	case s.isJobAtFault(j):
		s.addResult(j, result)
		s.failJob(j)
	case j.taskFailures[t.id.Index] >= s.cfg.MaxFailures && !t.worker.probing:
		s.addResult(j, result)
	default:
		s.requeue(j, t.id.Index)
	}
}

// recordJobFailure records that the job failed on w, unless w has been backed off since its last success.
func (s *Scheduler) recordJobFailure(j *job, w *worker) {
	if w.backOff == 0 && !j.hasFailedOn(w) {
		j.failedOn = append(j.failedOn, w)
	}
}

// isJobAtFault reports whether none of the job's tasks succeeded and it failed on enough
// otherwise healthy workers.
func (s *Scheduler) isJobAtFault(j *job) bool {
	if j.done > 0 {
		return false
	}
	healthyWorkers := 0
	for _, w := range j.failedOn {
		if w.healthyExceptFor(j) {
			healthyWorkers++
		}
	}
	return healthyWorkers >= min(s.cfg.MaxFailures, s.countEligibleWorkers(j))
}

// countEligibleWorkers returns the number of workers in the job's eligible pools, at least one.
func (s *Scheduler) countEligibleWorkers(j *job) int {
	count := 0
	for _, p := range s.eligiblePools(j.spec.Route, j.spec.Kind) {
		count += p.workerCount
	}
	return max(count, 1)
}

// failJob ends a job that failed too often and resets the failure counts of the workers it failed on.
func (s *Scheduler) failJob(j *job) {
	for _, w := range j.failedOn {
		w.consecutiveFailures = 0
		w.failedJobs = slices.DeleteFunc(w.failedJobs, func(other *job) bool { return other == j })
	}
	s.endJob(j, cyclamendyke.Outcome{
		Verdict: cyclamendyke.VerdictRan,
		Reason:  cyclamendyke.ReasonFailsEverywhere,
		Detail:  fmt.Sprintf("It failed on %d workers that run other work.", len(j.failedOn)),
	})
}

// handleGangTaskFailure restarts the whole gang until it has failed too often.
func (s *Scheduler) handleGangTaskFailure(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if !result.Stopped {
		j.gangFailures++
		s.recordJobFailure(j, t.worker)
	}
	if j.gangFailures >= s.cfg.MaxFailures {
		s.addResult(j, result)
		s.failJob(j)
		return
	}
	s.restartGang(j)
}
