package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// loadResult is what the callers of some workflows got.
type loadResult struct {
	asked, onTime, late int
	worth               float64 // Part of the asked core-seconds served, late ones counted with lateWorth.
	served              []time.Duration
}

// lateWorth is the value of a late answer relative to one on time.
const lateWorth = 0.2

func (p *loadPlayer) result(include func(*askedWorkflow) bool) loadResult {
	var r loadResult
	var owed, earned float64
	for _, a := range p.asked {
		if !include(a) {
			continue
		}
		r.asked++
		owed += a.coreSeconds
		switch {
		case a.done == 0 || a.done > usefulFactor*a.target:
			continue
		case a.done <= a.target:
			r.onTime++
			earned += a.coreSeconds
		default:
			r.late++
			earned += lateWorth * a.coreSeconds
		}
		r.served = append(r.served, a.done)
	}
	if owed > 0 {
		r.worth = earned / owed
	}
	slices.Sort(r.served)
	return r
}

func (r loadResult) part(count int) float64 {
	if r.asked == 0 {
		return 1
	}
	return float64(count) / float64(r.asked)
}

func (r loadResult) percentile(p float64) time.Duration {
	if len(r.served) == 0 {
		return 0
	}
	return r.served[min(len(r.served)-1, int(p*float64(len(r.served))))]
}

func (r loadResult) String() string {
	return fmt.Sprintf("asked %5d on time %.3f late %.3f unserved %.4f by work %.3f p50 %.2fs p90 %.2fs",
		r.asked, r.part(r.onTime), r.part(r.late), r.part(r.asked-r.onTime-r.late), r.worth, r.percentile(0.5).Seconds(), r.percentile(0.9).Seconds())
}

// summary describes the result of a load by queue, by size and by time.
func (p *loadPlayer) summary() string {
	var out strings.Builder
	for _, q := range p.load.Queues {
		all := p.result(func(a *askedWorkflow) bool { return a.queue == q.Name })
		fmt.Fprintf(&out, "%-10s %v\n", q.Name, all)
		limit := p.sizeQuantile(q.Name, 0.9)
		fmt.Fprintf(&out, "%-10s %v\n", "  largest", p.result(func(a *askedWorkflow) bool { return a.queue == q.Name && a.coreSeconds > limit }))
	}
	for _, team := range p.load.Teams {
		fmt.Fprintf(&out, "%-10s %v\n", team.Name, p.result(func(a *askedWorkflow) bool { return string(a.spec.Team) == team.Name }))
	}
	all := p.result(func(*askedWorkflow) bool { return true })
	fmt.Fprintf(&out, "%-10s %v\n", "all", all)
	worst := 1.0
	for second := 0; second+2 <= p.load.Seconds; second += 2 {
		window := p.result(func(a *askedWorkflow) bool { return int(a.at/time.Second)/2*2 == second })
		worst = min(worst, window.worth)
	}
	fmt.Fprintf(&out, "worst window %.3f nines %.2f starts %d stops %d advice %d in %.0f s wasted core-seconds %.0f asked core-seconds %.0f violations %d\n", worst,
		-math.Log10(max(0.001, all.part(all.asked-all.onTime-all.late)))/3, p.starts, p.stops, p.adviceRequests, p.adviceTime.Seconds(), p.wasted, p.askedCoreSeconds(), len(p.violations))
	return out.String()
}

func (p *loadPlayer) askedCoreSeconds() float64 {
	sum := 0.0
	for _, a := range p.asked {
		sum += a.coreSeconds
	}
	return sum
}

// sizeQuantile returns the size below which the given part of a queue's workflows are, in core-seconds.
func (p *loadPlayer) sizeQuantile(queue string, part float64) float64 {
	var sizes []float64
	for _, a := range p.asked {
		if a.queue == queue {
			sizes = append(sizes, a.coreSeconds)
		}
	}
	slices.Sort(sizes)
	if len(sizes) == 0 {
		return 0
	}
	return sizes[int(part*float64(len(sizes)))]
}
