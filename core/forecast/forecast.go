package forecast

import (
	"math"
	"time"

	"cyclamendyke"
)

// Window is the period of past submissions from which a forecast is made.
const Window = 8 * time.Second

// spread is how many standard deviations above the expected number of running tasks are forecast.
const spread = 1.0

// Step is a submitted step of urgent work.
type Step struct {
	At      time.Duration          // When it was submitted.
	Tasks   int                    // How many tasks it has.
	RunTime time.Duration          // How long one of them is expected to run.
	Need    cyclamendyke.Resources // What one of them needs.
}

// Forecast expects the urgent work of one service to arrive as it did lately.
type Forecast struct {
	steps []Step // In the order of submission.
}

// Add records a submitted step.
func (f *Forecast) Add(step Step) {
	f.steps = append(f.steps, step)
}

// Expire drops the steps that are older than the window.
func (f *Forecast) Expire(now time.Duration) {
	expired := 0
	for expired < len(f.steps) && f.steps[expired].At < now-Window {
		expired++
	}
	f.steps = f.steps[expired:]
}

// Demand returns how many urgent tasks are likely to run at once, and what one of them needs on average.
//
// Steps arrive independently, so that the variance of the number of running tasks is the rate of steps
// times the square of their width and their run time.
func (f *Forecast) Demand() (tasks float64, need cyclamendyke.Resources) {
	var sum cyclamendyke.Resources
	var count int64
	mean, variance := 0.0, 0.0
	for _, step := range f.steps {
		load := float64(step.Tasks) * step.RunTime.Seconds() / Window.Seconds()
		mean += load
		variance += float64(step.Tasks) * load
		sum = sum.Add(step.Need.Scale(int64(step.Tasks)))
		count += int64(step.Tasks)
	}
	if count == 0 {
		return 0, need
	}
	need = cyclamendyke.Resources{Cores: sum.Cores / cyclamendyke.MilliCores(count), Memory: sum.Memory / cyclamendyke.MiB(count)}
	return mean + spread*math.Sqrt(variance), need
}
