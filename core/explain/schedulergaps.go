package explain

import (
	"fmt"
	"slices"
	"time"
)

// minSchedulerGap is the shortest time without a scheduler's lines that is told.
const minSchedulerGap = time.Second

// firstEpoch is the epoch of a fleet's first scheduler.
const firstEpoch = 1

// schedulerGaps tells in which parts of a span lines of schedulers are missing. A time between two
// successive terms is no gap if the second term's lines begin with its election.
func schedulerGaps(schedulers []Scheduler, s span) []Gap {
	near := schedulersNear(schedulers, s)
	if len(near) == 0 {
		return []Gap{{GapScheduler, "no line of a scheduler"}}
	}
	gaps := gapBefore(&near[0], s.from)
	for i := 1; i < len(near); i++ {
		if near[i-1].until.Before(s.until) && near[i].from.After(s.from) {
			gaps = append(gaps, gapsBetween(&near[i-1], &near[i])...)
		}
	}
	latest := slices.MaxFunc(near, func(a, b Scheduler) int { return a.until.Compare(b.until) })
	if length := s.until.Sub(latest.until); length >= minSchedulerGap {
		gaps = append(gaps, newGap(length, "after "+latest.Until))
	}
	return gaps
}

// schedulersNear returns the schedulers whose lines touch a span, the last one before it and the first
// one after it, by epoch.
func schedulersNear(list []Scheduler, s span) []Scheduler {
	before, after := lastBefore(list, s.from), firstAfter(list, s.until)
	var near []Scheduler
	for i := range list {
		known := &list[i]
		touches := !known.until.Before(s.from) && !known.from.After(s.until)
		if touches || known == before || known == after {
			near = append(near, *known)
		}
	}
	return near
}

// covers reports whether the lines of schedulers tell all that was decided in a span: each term's lines
// begin with its election, or before the end of the part of the span that is covered already.
func covers(schedulers []Scheduler, s span) bool {
	covered := s.from
	for _, known := range schedulersNear(schedulers, s) {
		if known.from.After(covered) && !known.began {
			return false
		}
		if known.until.After(covered) {
			covered = known.until
		}
	}
	return len(schedulerGaps(schedulers, s)) == 0
}

func gapBefore(first *Scheduler, from time.Time) []Gap {
	if length := first.from.Sub(from); length >= minSchedulerGap && (!first.began || first.Epoch != firstEpoch) {
		return []Gap{newGap(length, "before "+first.From)}
	}
	return nil
}

// gapsBetween tells what is missing between two terms that follow each other in the lines.
func gapsBetween(earlier, later *Scheduler) []Gap {
	if isSuccessor(earlier, later) {
		return nil
	}
	var gaps []Gap
	if first, last := earlier.Epoch+1, later.Epoch-1; earlier.Epoch < later.Epoch && first <= last {
		gaps = append(gaps, newEpochGap(first, last))
	}
	if length := later.from.Sub(earlier.until); length >= minSchedulerGap {
		gaps = append(gaps, newGap(length, fmt.Sprintf("between %s and %s", earlier.Until, later.From)))
	}
	return gaps
}

// isSuccessor reports whether there was no other scheduler between two, and no line is missing there.
func isSuccessor(earlier, later *Scheduler) bool {
	return later.began && later.Epoch == earlier.Epoch+1
}

func newGap(length time.Duration, place string) Gap {
	return Gap{GapScheduler, fmt.Sprintf("no line of a scheduler in the %v %s", length.Round(time.Millisecond), place)}
}

func newEpochGap(first, last uint64) Gap {
	if first == last {
		return Gap{GapEpoch, fmt.Sprintf("no line of a scheduler with epoch %d: is its log among the files?", first)}
	}
	return Gap{GapEpoch, fmt.Sprintf("no line of schedulers with the epochs %d to %d: are their logs among the files?", first, last)}
}
