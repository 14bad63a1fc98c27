package scheduler

import (
	"time"

	"cyclamendyke"
)

const progressInterval = 30 * time.Second // Minimum time between two journal records of a job's results.

// record returns the job's journal record; it marks a non-repeatable job as started even before
// its first start, so that a takeover never starts it.
func (j *job) record() cyclamendyke.JournalRecord {
	return cyclamendyke.JournalRecord{
		Job:     j.spec,
		Started: j.spec.NotRepeatable || !j.notRun(),
		Done:    j.results,
		Outcome: j.outcome,
	}
}

// recordProgress writes the results of a journaled job at intervals, so that a takeover doesn't
// run its finished tasks again; a gang's results count only together and are left out.
func (s *Scheduler) recordProgress(j *job) {
	if !j.journaled || j.state != jobActive || j.policy.AllOrNothing() || s.now.Sub(j.lastRecorded) < progressInterval {
		return
	}
	j.lastRecorded = s.now
	s.emit(cyclamendyke.PersistCommand{Record: j.record()})
}

func (s *Scheduler) handlePersistResult(request cyclamendyke.RequestID, result cyclamendyke.PersistResult) {
	j := s.jobs[request]
	switch {
	case j == nil:
	case j.state == jobAwaitingFinalRecord:
		s.handleFinalRecord(j, result)
	case j.state == jobAwaitingRecord:
		s.handleFirstRecord(j, result)
	}
}

// handleFinalRecord answers a job that never ran; the verdict is not-run only if the journal
// stored the end, since otherwise a later term may start the job.
func (s *Scheduler) handleFinalRecord(j *job, result cyclamendyke.PersistResult) {
	outcome := j.pendingOutcome
	if result != cyclamendyke.PersistKept || !j.notRun() {
		outcome.Verdict = cyclamendyke.VerdictMayHaveRun
		outcome.Detail += " The store did not confirm it, so it may yet start."
	}
	s.finalizeJob(j, outcome)
}

// handleFirstRecord admits a job whose first record is stored, or ends it.
func (s *Scheduler) handleFirstRecord(j *job, result cyclamendyke.PersistResult) {
	switch result {
	case cyclamendyke.PersistKept:
		j.lastRecorded = s.now
		if j.spec.Detach {
			s.emit(cyclamendyke.AnswerCommand{Outcome: j.outcome})
		}
		s.admit(j)
	case cyclamendyke.PersistDuplicate:
		j.journaled = false
		j.outcomeUnknown = true
		s.endJob(j, s.interruptedOutcome(j, cyclamendyke.ReasonConflict, "An earlier request has this idempotency key; ask for its outcome."))
	case cyclamendyke.PersistRefused:
		j.journaled = false
		outcome := s.interruptedOutcome(j, cyclamendyke.ReasonStoreUnavailable, "The store cannot keep the request now; try again later.")
		outcome.RetryAfter = s.jitter(2 * retryDelay)
		s.endJob(j, outcome)
	default:
		j.outcomeUnknown = true
		s.endJob(j, s.interruptedOutcome(j, cyclamendyke.ReasonAnswerLost, "Whether the request was kept is not known."))
	}
}

// restoreJob restores one job from the journal; an earlier term may have started any of its tasks.
func (s *Scheduler) restoreJob(record cyclamendyke.JournalRecord) {
	j := s.jobs[record.Job.Request]
	switch {
	case j != nil && !j.orphan:
		return
	case record.Outcome.Verdict.IsFinal():
		s.restoreFinished(j, record)
		return
	case j == nil:
		j = newJob(record.Job, s.policyOf(record.Job.Kind), s.nextSeq())
		s.jobs[record.Job.Request] = j
		s.unfinishedCount++
	}
	j.orphan = false
	j.journaled = true
	j.mayHaveStarted = true
	for _, result := range record.Done {
		s.restoreResult(j, result)
	}
	s.applyOrphanResults(j)
	s.updateWaitingTotals(j)
	s.admit(j)
}

// restoreFinished restores a job that the journal holds with a final outcome.
func (s *Scheduler) restoreFinished(j *job, record cyclamendyke.JournalRecord) {
	if j == nil {
		j = newJob(record.Job, s.policyOf(record.Job.Kind), s.nextSeq())
		s.jobs[record.Job.Request] = j
		s.unfinishedCount++
	}
	j.orphan = false
	j.results = record.Done
	j.outcome = record.Outcome
	s.markEnded(j)
}

// restoreResult counts a result from the journal or one reported before its request was known.
func (s *Scheduler) restoreResult(j *job, result cyclamendyke.TaskResult) {
	if !j.waiting.has(result.Task.Index) || result.Stopped || j.policy.Restarts() {
		return
	}
	j.waiting.remove(result.Task.Index)
	s.addResult(j, result)
}

// keepOrphanResult keeps the result of a task whose request is not known yet, until the request
// is resubmitted or restored from the journal.
func (s *Scheduler) keepOrphanResult(result cyclamendyke.TaskResult) {
	request := result.Task.Request
	if _, found := s.orphanResults[request]; !found {
		s.orphanResultOrder = append(s.orphanResultOrder, request)
	}
	s.orphanResults[request] = append(s.orphanResults[request], result)
	if len(s.orphanResultOrder) > s.cfg.MaxFinishedJobs {
		delete(s.orphanResults, s.orphanResultOrder[0])
		s.orphanResultOrder = s.orphanResultOrder[1:]
	}
}

// applyOrphanResults counts the results that arrived before the job was known.
func (s *Scheduler) applyOrphanResults(j *job) {
	results := s.orphanResults[j.spec.Request]
	if len(results) == 0 {
		return
	}
	delete(s.orphanResults, j.spec.Request)
	j.mayHaveStarted = true
	for _, result := range results {
		s.restoreResult(j, result)
	}
	s.updateWaitingTotals(j)
}
