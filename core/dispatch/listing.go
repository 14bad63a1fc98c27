package dispatch

import (
	"fmt"
	"time"

	"cyclamendyke"
)

// applyEnds applies those of the reported ends that no earlier report contained.
func (s *Scheduler) applyEnds(t *target, ends []cyclamendyke.EndReport) {
	for _, end := range ends {
		if end.Sequence <= t.lastEndHandled {
			continue
		}
		t.lastEndHandled = end.Sequence
		j := s.jobs[end.Task.Workflow]
		if j == nil {
			continue
		}
		s.applyEnd(t, end)
		if j.storedVersion < j.version {
			t.unstoredEnds = append(t.unstoredEnds, unstoredEnd{end.Sequence, end.Task, j, j.version})
		}
	}
}

// reconcile compares the runs that a target reports with the runs known there. Where the ends are cut, one that is not reported
// may have ended, in whichever way, so that nothing is concluded from that.
func (s *Scheduler) reconcile(t *target, sent time.Duration, listing *cyclamendyke.Listing) {
	reported := make(map[runKey]bool, len(listing.Running))
	clear(t.orphans)
	for _, report := range listing.Running {
		key := runKey{report.Task, report.Run}
		reported[key] = true
		if r := t.runs[key]; r != nil {
			s.confirm(r, report)
			continue
		}
		s.adopt(t, report)
	}
	for key, r := range t.runs {
		if !reported[key] && !listing.MoreEnds {
			s.handleMissing(r, sent)
		}
	}
	t.reconciled = true
	s.checkRoom(t)
}

// noteAllEndsListed notes that a listing which is not cut has come. From then on every end that is not known yet is one of a run
// that is.
func (s *Scheduler) noteAllEndsListed(t *target, listing *cyclamendyke.Listing) {
	t.endsAreCut = listing.MoreEnds
	if t.allEndsListed || listing.MoreEnds {
		return
	}
	t.allEndsListed = true
	s.runListStale = s.runListStale || len(t.earlierRuns) > 0
}

// checkRoom notes when the runs on a target need more than it has room for, since its capacity has shrunk or it runs what
// was taken to have ended.
func (s *Scheduler) checkRoom(t *target) {
	isOverfull := !t.used.FitsIn(t.info.Capacity)
	if isOverfull && !t.isOverfull {
		s.cfg.LogDecision(Decision{
			Event: EventOverfull, Target: t.info.ID, Count: len(t.runs),
			Reason: fmt.Sprintf("%+v needed, %+v there", t.used, t.info.Capacity),
		})
	}
	t.isOverfull = isOverfull
}

// confirm updates a run from the target's report.
func (s *Scheduler) confirm(r *run, report cyclamendyke.RunReport) {
	if r.state == runStarting || r.state == runStartUnknown && !r.stopInFlight {
		r.state = runRunning
	}
	if r.confirmedAt == 0 {
		r.confirmedAt = s.now
		r.progress.begin(0, s.now)
		s.runConfirmed(r)
		r.step.job.started = true
	}
	if r.resumed && r.progress.percent == 0 {
		r.progress.begin(report.Percent, s.now)
	}
	r.progress.report(report.Percent, s.now)
	r.load = report.Load
	if report.Checkpoint != "" {
		r.checkpoint = report.Checkpoint
	}
}

// handleMissing handles a run that is absent from a listing requested at sent.
func (s *Scheduler) handleMissing(r *run, sent time.Duration) {
	switch r.state {
	case runStopping:
		if r.stopAcceptedAt != 0 && sent > r.stopAcceptedAt {
			s.runEnded(r, cyclamendyke.EndStopped, r.checkpoint, 0)
		}
	case runRunning:
		if sent > r.confirmedAt {
			s.stop(r, "missing from the target's listing")
		}
	case runStartUnknown:
		switch {
		case sent <= r.startedAt:
		case r.provenAbsent(sent): // It ran on the incarnation before, or never.
			s.runEnded(r, cyclamendyke.EndTargetEnded, r.checkpoint, 0)
		case r.startsAnswered():
			s.requestListing(r.target)
		default:
			s.stop(r, "start in doubt")
		}
	}
}

// adopt adds a reported run of an earlier epoch, or one that was taken to have ended, and stops it if it is not needed; a run
// that belongs to no workflow becomes an orphan and is stopped.
func (s *Scheduler) adopt(t *target, report cyclamendyke.RunReport) {
	key := runKey{report.Task, report.Run}
	step := s.findStep(report.Task)
	if step == nil {
		t.orphans[key] = true
		s.emit(StopCommand{Target: t.info, Task: report.Task, Run: report.Run})
		return
	}
	r := &run{
		step: step, taskIndex: report.Task.Index, number: report.Run, target: t, state: runRunning,
		startedAt: s.now, confirmedAt: s.now, checkpoint: report.Checkpoint, adopted: true, pace: fullPace,
	}
	r.progress.begin(report.Percent, s.now)
	needed := !step.done.Has(r.taskIndex) && !step.job.state.IsFinal() && (len(step.runsOf(r.taskIndex)) == 0 || step.spec.Speculative)
	s.reserve(r)
	step.job.started = true
	reason := ""
	if t.reconciled {
		reason = "not in an earlier listing"
	}
	s.cfg.LogDecision(Decision{
		Event: EventAdopted, Workflow: report.Task.Workflow, Task: report.Task.String(), Target: t.info.ID, Run: report.Run, Reason: reason,
	})
	t.adoptTrial(r)
	if !needed {
		s.stop(r, "not needed")
	}
}

// hasOrphan reports whether a run of a task that belongs to no workflow is left on the target.
func (t *target) hasOrphan(name cyclamendyke.TaskName) bool {
	for key := range t.orphans {
		if key.task == name {
			return true
		}
	}
	return false
}
