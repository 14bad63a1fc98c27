package scheduler

import (
	"time"

	"cyclamendyke"
)

const progressInterval = 30 * time.Second // Between two records of a job's results.

// record returns what the journal keeps of the job; of one that must not be repeated it says from the first that it may have started.
func (j *job) record() cyclamendyke.JournalRecord {
	return cyclamendyke.JournalRecord{
		Job:     j.spec,
		Started: j.spec.NotRepeatable || !j.notRun(),
		Done:    j.results,
		Outcome: j.outcome,
	}
}

// recordProgress has the results of a kept job recorded from time to time, so that a takeover need not repeat them; a gang's count only together.
func (s *Scheduler) recordProgress(j *job) {
	if !j.kept || j.state != jobActive || j.policy.AllAtOnce() || s.now.Sub(j.recorded) < progressInterval {
		return
	}
	j.recorded = s.now
	s.emit(cyclamendyke.PersistCommand{Record: j.record()})
}

func (s *Scheduler) persisted(request cyclamendyke.RequestID, result cyclamendyke.PersistResult) {
	j := s.jobs[request]
	switch {
	case j == nil:
	case j.state == jobClosing:
		s.closed(j, result)
	case j.state == jobAwaitingRecord:
		s.recorded(j, result)
	}
}

// closed answers a job that never ran, once it is known whether the journal has its end.
func (s *Scheduler) closed(j *job, result cyclamendyke.PersistResult) {
	outcome := j.ending
	if result != cyclamendyke.PersistKept || !j.notRun() {
		outcome.Verdict = cyclamendyke.VerdictMayHaveRun
		outcome.Detail += " The store did not confirm it, so it may yet start."
	}
	s.conclude(j, outcome)
}

func (s *Scheduler) recorded(j *job, result cyclamendyke.PersistResult) {
	switch result {
	case cyclamendyke.PersistKept:
		j.recorded = s.now
		if j.spec.Detach {
			s.emit(cyclamendyke.AnswerCommand{Outcome: j.outcome})
		}
		s.admit(j)
	case cyclamendyke.PersistDuplicate:
		j.kept = false
		j.doubt = true
		s.end(j, s.interrupted(j, cyclamendyke.ReasonConflict, "An earlier request has this idempotency key; ask for its outcome."))
	case cyclamendyke.PersistRefused:
		j.kept = false
		outcome := s.interrupted(j, cyclamendyke.ReasonStoreAway, "The store cannot keep the request now; try again later.")
		outcome.RetryAfter = s.jitter(2 * retryBase)
		s.end(j, outcome)
	default:
		j.doubt = true
		s.end(j, s.interrupted(j, cyclamendyke.ReasonAnswerLost, "Whether the request was kept is not known."))
	}
}

// restore takes up one job of the journal; anything of it may have been started by an earlier term.
func (s *Scheduler) restore(record cyclamendyke.JournalRecord) {
	j := s.jobs[record.Job.Request]
	switch {
	case j != nil && !j.orphan:
		return
	case record.Outcome.Verdict.IsFinal():
		s.restoreFinished(j, record)
		return
	case j == nil:
		j = newJob(record.Job, s.policyOf(record.Job.Kind), s.seq())
		s.jobs[record.Job.Request] = j
		s.unfinished++
	}
	j.orphan = false
	j.kept = true
	j.mayHaveStarted = true
	for _, result := range record.Done {
		s.restoreResult(j, result)
	}
	s.takeStray(j)
	s.recount(j)
	s.admit(j)
}

func (s *Scheduler) restoreFinished(j *job, record cyclamendyke.JournalRecord) {
	if j == nil {
		j = newJob(record.Job, s.policyOf(record.Job.Kind), s.seq())
		s.jobs[record.Job.Request] = j
		s.unfinished++
	}
	j.orphan = false
	j.results = record.Done
	j.outcome = record.Outcome
	s.retire(j)
}

// restoreResult counts a result that an earlier term or an unasked-for listing brought.
func (s *Scheduler) restoreResult(j *job, result cyclamendyke.TaskResult) {
	if !j.waiting.has(result.Task.Index) || result.Stopped || j.policy.Restarts() {
		return
	}
	j.waiting.remove(result.Task.Index)
	s.keepResult(j, result)
}

// keepStray keeps the result of a task whose request is not known, until its caller or the journal names it.
func (s *Scheduler) keepStray(result cyclamendyke.TaskResult) {
	request := result.Task.Request
	if _, found := s.stray[request]; !found {
		s.strayOrder = append(s.strayOrder, request)
	}
	s.stray[request] = append(s.stray[request], result)
	if len(s.strayOrder) > s.cfg.RememberJobs {
		delete(s.stray, s.strayOrder[0])
		s.strayOrder = s.strayOrder[1:]
	}
}

func (s *Scheduler) takeStray(j *job) {
	results := s.stray[j.spec.Request]
	if len(results) == 0 {
		return
	}
	delete(s.stray, j.spec.Request)
	j.mayHaveStarted = true
	for _, result := range results {
		s.restoreResult(j, result)
	}
	s.recount(j)
}
