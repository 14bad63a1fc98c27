package dispatch

import (
	"math"
	"time"
)

// The rules for estimating how long a run goes on.
const (
	minKnownPercent     = 4                      // Less progress says too little about a run's pace.
	minOverdueRemaining = 100 * time.Millisecond // Least time for which an overdue run is expected to go on, so that its target never counts as free.
)

// percentages is a run's progress as its target has reported it.
type percentages struct {
	percent      int           // Last reported percentage of the task's work.
	at           time.Duration // When the percentage last changed.
	firstPercent int           // Percentage from which the pace is measured: the first reported, if the run resumed from a checkpoint.
	firstAt      time.Duration // When the run had firstPercent.
}

// begin starts the measurement of the pace at a percentage.
func (p *percentages) begin(percent int, now time.Duration) {
	*p = percentages{percent: percent, at: now, firstPercent: percent, firstAt: now}
}

// report records a percentage from a listing.
func (p *percentages) report(percent int, now time.Duration) {
	if percent == p.percent {
		return
	}
	p.percent, p.at = percent, now
}

// remaining estimates how long the run goes on: from its progress or, if that is unknown, from how
// long the step's tasks take. An overdue run is expected to take as long again as it is overdue.
func (r *run) remaining(now time.Duration) time.Duration {
	if left, ok := r.progress.remaining(now); ok {
		return left
	}
	begin, expected := r.expectedWork()
	overdue := now - begin - expected
	if overdue < 0 {
		return -overdue
	}
	return max(minOverdueRemaining, overdue)
}

// expectedWork returns since when the run is expected to work for how long, by what its step's tasks take. Of a run that this epoch has
// not seen from the beginning of its work, only what it had not done when it last reported counts.
func (r *run) expectedWork() (begin, expected time.Duration) {
	begin, expected = r.startedAt, r.step.runTimeOn(r.target)
	if r.progress.percent > 0 && (r.adopted || r.resumed) {
		begin, expected = r.progress.at, expected*time.Duration(100-r.progress.percent)/100
	}
	return begin, expected
}

// certainPart is the part of its expected run time for which a run certainly works.
const certainPart = 0.7

// worksAt reports whether the run, unless something stops it, certainly still works at a given time.
func (r *run) worksAt(at time.Duration) bool {
	return r.state == runRunning && at < r.worksUntil()
}

// worksUntil returns until when a running run certainly works, unless something stops it.
func (r *run) worksUntil() time.Duration {
	if r.step.spec.LongRunning {
		return math.MaxInt64
	}
	begin, expected := r.expectedWork()
	if left, ok := r.progress.remaining(r.progress.at); ok {
		begin, expected = r.progress.at, left
	} else if r.resumed && r.progress.percent == 0 {
		return r.startedAt // Nothing says how much its checkpoint has left.
	}
	return begin + time.Duration(certainPart*float64(expected))
}

// remaining estimates the time left from the pace so far. It is unknown before enough progress was
// reported, and once the run should have ended.
func (p *percentages) remaining(now time.Duration) (time.Duration, bool) {
	end, known := p.expectedEnd()
	return end - now, known && end > now
}

// perPercent returns the time that the run has taken for a percent of its work, if it has reported
// enough progress.
func (p *percentages) perPercent() (time.Duration, bool) {
	made := p.percent - p.firstPercent
	if made < minKnownPercent || p.at <= p.firstAt {
		return 0, false
	}
	return (p.at - p.firstAt) / time.Duration(made), true
}

// expectedEnd returns when the run ends if it keeps its pace, if that is known.
func (p *percentages) expectedEnd() (time.Duration, bool) {
	perPercent, known := p.perPercent()
	return p.at + time.Duration(100-p.percent)*perPercent, known
}

// runTimeOn estimates how long a task of the step runs on a target: as long as the step's other tasks
// did or, before any of them is done, as its estimate says.
func (step *stepRun) runTimeOn(t *target) time.Duration {
	base := float64(step.spec.Estimate)
	if count := len(step.measured); count > 0 {
		base = math.Exp(step.measuredWork/float64(count)) * float64(time.Second)
	}
	return time.Duration(base * math.Exp(t.speed.slowness))
}
