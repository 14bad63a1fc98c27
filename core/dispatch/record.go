package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

// The forms of long lists in records. Short ones are stored as earlier versions did, who may take over.
const (
	maxListedSteps    = 500         // Longest list of steps that are done.
	maxListedTasks    = 1000        // Longest list of a step's tasks that are done.
	tooLongRetryDelay = time.Second // Between two attempts to encode a record that is too long.
	maxRecordBytes    = 900 << 10   // A longer record is not stored, since the store would refuse it and all others of its batch.
)

// Record is one record to be stored: of a workflow's progress or, if Final is set, the final record
// that replaces all that is stored of the workflow.
type Record struct {
	ID       cyclamendyke.WorkflowID
	Final    bool
	Value    []byte
	Expected cyclamendyke.Revision // Revision of the progress record it replaces; zero if there is none.
	version  int64                 // Version of the job's progress in Value.
}

// markDirty marks a job as changed, so that its progress is stored.
func (s *Scheduler) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// HasFinalRecords reports whether a final state can be stored now; callers may be waiting for it.
func (s *Scheduler) HasFinalRecords() bool {
	return slices.ContainsFunc(s.dirty, func(j *job) bool { return j.state.IsFinal() && !j.storing })
}

// HasRecords reports whether there are records that can be stored now.
func (s *Scheduler) HasRecords() bool {
	return slices.ContainsFunc(s.dirty, func(j *job) bool { return !j.storing })
}

// TakeRecords passes the records to be stored to take, final ones first, until it returns false for one
// that it does not take.
func (s *Scheduler) TakeRecords(take func(Record) bool) error {
	isFull := false
	for _, final := range []bool{true, false} {
		for _, j := range s.dirty {
			if isFull || j.storing || j.state.IsFinal() != final || !final && s.now < j.encodeAt {
				continue
			}
			record, err := s.encode(j)
			if err != nil {
				return NewError("record", cyclamendyke.KindInvalid, err)
			}
			if len(record.Value) > maxRecordBytes {
				s.logTooLong(j, len(record.Value))
				continue
			}
			if isFull = !take(record); !isFull {
				j.dirty, j.storing = false, true
			}
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(j *job) bool { return !j.dirty })
	return nil
}

// encode returns the record of a job's present state.
func (s *Scheduler) encode(j *job) (Record, error) {
	record := Record{ID: j.spec.ID, Final: j.state.IsFinal(), Expected: j.revision, version: j.version}
	if record.Final {
		value, err := json.Marshal(progress.Final{State: j.state, Team: j.spec.Team, EndedAt: s.wall.Add(j.finalAt - s.now)})
		record.Value = value
		return record, err
	}
	content := j.record()
	value, err := json.Marshal(content)
	if len(value) > maxRecordBytes {
		content.DropCheckpoints() // Work is lost then, but nothing that is done.
		value, err = json.Marshal(content)
	}
	record.Value = value
	return record, err
}

// logTooLong logs once that the record of a workflow is too long to be stored, which is tried again later. Others are stored.
func (s *Scheduler) logTooLong(j *job, bytes int) {
	j.encodeAt = s.now + tooLongRetryDelay
	if !j.isTooLong {
		j.isTooLong = true
		s.cfg.LogDecision(Decision{Event: EventRecordTooLong, Workflow: j.spec.ID, Count: bytes})
	}
}

// RecordsStored marks records as stored at a revision and calls the callbacks that waited for them.
func (s *Scheduler) RecordsStored(records []Record, revision cyclamendyke.Revision) {
	for _, r := range records {
		j := s.jobs[r.ID]
		if j == nil {
			continue
		}
		j.storing = false
		j.revision = revision
		j.storedVersion = max(j.storedVersion, r.version)
		if r.Final {
			s.ended = append(s.ended, j)
			for _, waiter := range j.onFinal {
				waiter.notify()
			}
			j.onFinal = nil
		}
		if j.storedVersion >= j.version {
			for _, callback := range j.onStored {
				callback()
			}
			j.onStored = nil
		}
	}
	for _, t := range s.targets {
		if len(t.unstoredEnds) == 0 {
			continue
		}
		t.acknowledge()
		if len(t.unstoredEnds) == 0 {
			t.renewAt = s.now // The target can wait for the next end again.
		}
	}
}

func (j *job) record() progress.Workflow {
	var out progress.Workflow
	j.recordOver(&out)
	for _, occ := range j.open {
		if j.over.Has(occ.number) {
			continue
		}
		occ.record(&out)
	}
	return out
}

// record records the progress of an occurrence that is not over.
func (o *occurrence) record(out *progress.Workflow) {
	if o.done.Count() > maxListedSteps {
		out.Open = append(out.Open, progress.Occurrence{Number: o.number, Done: o.done.Bytes()})
	} else {
		for index := range o.done.All() {
			out.Steps = append(out.Steps, progress.Step{Occurrence: o.number, Step: index, AllDone: true})
		}
	}
	for _, step := range o.steps {
		if step == nil || o.done.Has(step.index) {
			continue
		}
		if record := step.record(); !record.IsEmpty() {
			out.Steps = append(out.Steps, record)
		}
	}
}

// recordOver records the occurrences that are over.
func (j *job) recordOver(out *progress.Workflow) {
	if j.over.Count()*len(j.spec.Steps) > maxListedSteps {
		out.Over = j.over
		return
	}
	for _, over := range j.over.All() {
		for number := over[0]; number <= over[1]; number++ {
			for step := range j.spec.Steps {
				out.Steps = append(out.Steps, progress.Step{Occurrence: number, Step: step, AllDone: true})
			}
		}
	}
}

// record returns the step's progress.
func (step *stepRun) record() progress.Step {
	out := progress.Step{Occurrence: step.occ.number, Step: step.index}
	out.SetFailedRuns(progress.Gang, step.failedRuns)
	out.SetCrashes(progress.Gang, step.gangCrashes.Crashes)
	if step.done.Count() > maxListedTasks {
		out.DoneBits = step.done.Bytes()
	} else {
		out.Done = slices.Collect(step.done.All())
	}
	for i, t := range step.tasks.All() {
		if step.done.Has(i) {
			continue
		}
		out.SetFailedRuns(i, t.failedRuns)
		out.SetCrashes(i, t.crashes.Crashes)
		out.SetCheckpoint(i, t.checkpoint)
	}
	return out
}
