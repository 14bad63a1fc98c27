package dispatch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// timedWorkflow returns a workflow of one short task that is due again and again.
func timedWorkflow(sim *simulation, id string, repeat int, interval time.Duration) *cyclamendyke.Workflow {
	w := workflow(id, cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 100 * time.Millisecond})
	w.Repeat, w.First, w.Interval = repeat, sim.wall().Add(time.Second), interval
	return w
}

// maxTimedBytes is what a timed workflow may hold before it is due, however often it repeats.
const maxTimedBytes = 64 << 10

// TestOccurrencesHoldMemoryBeforeTheyAreDue guards against the memory of months of occurrences at the time of submission.
func TestOccurrencesHoldMemoryBeforeTheyAreDue(t *testing.T) {
	is := is.New(t)
	const workflows = 20
	sim := unlimitedFleet(t)
	sim.elect()
	sim.run(time.Second)
	before := liveBytes()
	for i := range workflows {
		sim.submit(timedWorkflow(sim, fmt.Sprint("timed-", i), 180_000, time.Minute))
	}
	is.True(liveBytes()-before < workflows*maxTimedBytes)
	sim.run(3 * time.Minute)
	is.Equal(sim.starts, 3*workflows)
	is.Equal(len(sim.violations), 0)
}

// TestManyDueOccurrencesAreReleasedInTurn has far more occurrences due at once than may be open.
func TestManyDueOccurrencesAreReleasedInTurn(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.fleet.Queues[0].Advice = nil
	sim.elect()
	for _, id := range []string{"a", "b"} {
		w := timedWorkflow(sim, id, 100_000, 0)
		w.First = sim.wall().Add(-time.Hour)
		sim.submit(w)
	}
	sim.submit(workflow("plain", cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 100 * time.Millisecond}))
	sim.run(4 * time.Second)
	is.Equal(sim.status("plain"), cyclamendyke.WorkflowCompleted)
	is.True(sim.sched.openBytes <= maxOpenBytes)
	is.Equal(sim.sched.jobs["a"].unopened()+len(sim.sched.jobs["a"].open)+sim.sched.jobs["a"].over.Count(), 100_000)
	is.Equal(len(sim.violations), 0)
}

// TestOccurrencesThatAreOverStayOverAfterTakeover lets new epochs load the progress of workflows with some or many occurrences that are over.
func TestOccurrencesThatAreOverStayOverAfterTakeover(t *testing.T) {
	for _, repeat := range []int{20, 700} {
		t.Run(fmt.Sprint(repeat), func(t *testing.T) {
			is := is.New(t)
			sim := unlimitedFleet(t)
			sim.fleet.Queues[0].Advice = nil
			sim.elect()
			sim.submit(timedWorkflow(sim, "timed", repeat, 10*time.Millisecond))
			for range 5 {
				sim.run(time.Duration(repeat) * 10 * time.Millisecond / 4)
				sim.elect()
			}
			sim.run(20 * time.Second)
			is.Equal(sim.status("timed"), cyclamendyke.WorkflowCompleted)
			is.Equal(sim.starts, repeat)
			is.Equal(sim.sched.openBytes, 0)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestLongProgressFitsInRecord stores the progress of workflows of very many tasks, steps and occurrences, every other one done.
func TestLongProgressFitsInRecord(t *testing.T) {
	const count = 20_000
	single := cyclamendyke.Step{Count: 1, Need: cores(1)}
	steps := make([]cyclamendyke.Step, 0, count)
	for range count {
		steps = append(steps, single)
	}
	occurrences := workflow("occurrences", single)
	occurrences.Repeat = 20_000
	for _, test := range []struct {
		spec *cyclamendyke.Workflow
		done func(*Scheduler, *job, int)
	}{
		{workflow("tasks", cyclamendyke.Step{Count: cyclamendyke.MaxTasks, Need: cores(1)}), func(s *Scheduler, j *job, i int) { s.openStep(j.open[0], 0).taskDone(i) }},
		{workflow("steps", steps...), func(_ *Scheduler, j *job, i int) { j.open[0].stepDone(i) }},
		{occurrences, func(_ *Scheduler, j *job, i int) { j.over.Add(i) }},
	} {
		t.Run(string(test.spec.ID), func(t *testing.T) {
			is := is.New(t)
			newScheduler := func() *Scheduler {
				s := New(Config{Epoch: 1, Bounds: cyclamendyke.Bounds{MaxLease: 10 * time.Second}})
				s.Submit(test.spec, 1)
				return s
			}
			s := newScheduler()
			j := s.jobs[test.spec.ID]
			for i := 0; i < max(test.spec.Steps[0].Count, len(test.spec.Steps), test.spec.Repeat); i += 2 {
				test.done(s, j, i)
			}
			record, err := s.encode(j)
			is.NoErr(err)
			is.True(len(record.Value) < maxRecordBytes)
			next := newScheduler()
			is.NoErr(next.Load(j.spec.ID, record.Value, 1))
			again, err := next.encode(next.jobs[j.spec.ID])
			is.NoErr(err)
			is.True(bytes.Equal(again.Value, record.Value))
		})
	}
}

// TestRecordThatIsTooLongBlocksOthers gives a workflow so many checkpoints, or failed runs, that its record would be refused with its batch.
func TestRecordThatIsTooLongBlocksOthers(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(task *task)
		want   int // Records that are taken.
	}{
		{"checkpoints", func(task *task) { task.checkpoint = "0123456789abcdef0123456789abcdef" }, 2},
		{"failed runs", func(task *task) { task.failedRuns = []int64{1_000_000_000_000_000, 1_000_000_000_000_001} }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Epoch: 1, Bounds: cyclamendyke.Bounds{MaxLease: 10 * time.Second}})
			for _, id := range []string{"long", "short"} {
				s.Submit(workflow(id, cyclamendyke.Step{Count: 60_000, Need: cores(1)}), 1)
				s.markDirty(s.jobs[cyclamendyke.WorkflowID(id)])
			}
			step := s.openStep(s.jobs["long"].open[0], 0)
			for i := range step.spec.Count {
				test.change(step.tasks.At(i))
			}
			taken := 0
			is.NoErr(s.TakeRecords(func(r Record) bool {
				taken++
				is.True(len(r.Value) <= maxRecordBytes)
				return true
			}))
			is.Equal(taken, test.want)
		})
	}
}

// TestMeasuredRunsOfWideStepTakeMemory ends far more tasks of a step than are kept to learn from.
func TestMeasuredRunsOfWideStepTakeMemory(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.elect()
	w := wideStep("wide")
	w.Steps[0].Estimate = 200 * time.Millisecond
	sim.submit(w)
	sim.run(2 * time.Second)
	step := sim.sched.jobs["wide"].open[0].steps[0]
	is.True(step.done.Count() > 5*maxMeasuredRuns)
	is.Equal(len(step.measured), maxMeasuredRuns)
	is.Equal(len(sim.violations), 0)
}
