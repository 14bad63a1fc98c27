package dispatch

import (
	"math"
	"time"

	"cyclamendyke"
)

// The rules for forecasting urgent work and for the room that is kept for it.
const (
	forecastWindow   = 8 * time.Second // Period of past submissions from which the forecast is made.
	headroomSpread   = 1.0             // Standard deviations above the expected number of running tasks.
	maxHeadroomShare = 0.6             // Largest part of a service's room that is kept for urgent work.
)

// urgentStep is a submitted step of a queue with priority 0.
type urgentStep struct {
	at      time.Duration
	tasks   int
	runTime time.Duration
	need    cyclamendyke.Resources
}

// forecast expects the urgent work of one service to arrive as it did lately.
type forecast struct {
	steps []urgentStep // In the order of submission.
}

// add records a step that was submitted at a given time.
func (f *forecast) add(step urgentStep) {
	f.steps = append(f.steps, step)
}

// expire drops the steps that are older than the window.
func (f *forecast) expire(now time.Duration) {
	expired := 0
	for expired < len(f.steps) && f.steps[expired].at < now-forecastWindow {
		expired++
	}
	f.steps = f.steps[expired:]
}

// demand returns how many urgent tasks are likely to run at once, and what one of them needs on average.
//
// Steps arrive independently, so that the variance of the number of running tasks is the rate of steps
// times the square of their width and their run time.
func (f *forecast) demand() (tasks float64, need cyclamendyke.Resources) {
	var sum cyclamendyke.Resources
	var count int64
	mean, variance := 0.0, 0.0
	for _, step := range f.steps {
		load := float64(step.tasks) * step.runTime.Seconds() / forecastWindow.Seconds()
		mean += load
		variance += float64(step.tasks) * load
		sum = sum.Add(step.need.Scale(int64(step.tasks)))
		count += int64(step.tasks)
	}
	if count == 0 {
		return 0, need
	}
	need = cyclamendyke.Resources{Cores: sum.Cores / cyclamendyke.MilliCores(count), Memory: sum.Memory / cyclamendyke.MiB(count)}
	return mean + headroomSpread*math.Sqrt(variance), need
}

// expectUrgent adds a workflow of a queue with priority 0 to the forecast of its service.
func (s *Scheduler) expectUrgent(j *job) {
	queue := j.queue(s)
	if queue == nil || queue.Priority > 0 || j.overShare {
		return
	}
	f := s.forecasts[queue.Service]
	if f == nil {
		f = &forecast{}
		s.forecasts[queue.Service] = f
	}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		if !spec.LongRunning {
			f.add(urgentStep{at: j.acceptedAt, tasks: spec.Count, runTime: spec.Estimate, need: spec.Reserved()})
		}
	}
}
