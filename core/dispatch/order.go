package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// hopelessFactor is the multiple of its objective after which a workflow is of no use to its caller any more.
const hopelessFactor = 3

// orderKey ranks a step among those that wait; lower comes first.
//
// It answers loads above what the fleet holds: work that can still be of use
// goes before work that cannot, then what teams send within their share before
// what goes beyond it, then by priority, then work that can still be on time,
// the most urgent first.
type orderKey struct {
	hopeless bool
	over     bool // Beyond its team's share.
	priority int
	late     bool
	deadline time.Duration
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (k orderKey) compare(o orderKey) int {
	return cmp.Or(
		cmp.Compare(boolRank(k.hopeless), boolRank(o.hopeless)),
		cmp.Compare(boolRank(k.over), boolRank(o.over)),
		cmp.Compare(k.priority, o.priority),
		cmp.Compare(boolRank(k.late), boolRank(o.late)),
		cmp.Compare(k.deadline, o.deadline),
	)
}

// chain returns the longest chain of estimated work from a step on, the step included.
func chain(steps []cyclamendyke.Step, from int) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(steps); i++ {
		if slices.Contains(steps[i].After, from) {
			longest = max(longest, chain(steps, i))
		}
	}
	return steps[from].Estimate + longest
}

// wholeChain returns the longest chain of estimated work of a workflow.
func wholeChain(steps []cyclamendyke.Step) time.Duration {
	longest := time.Duration(0)
	for i := range steps {
		longest = max(longest, chain(steps, i))
	}
	return longest
}

// rank works out the step's place in the order.
func (s *Scheduler) rank(step *stepRun) {
	j := step.job
	queue := j.queue(s)
	if queue == nil {
		step.order = orderKey{hopeless: true}
		return
	}
	begin := j.seen
	if j.spec.Repeat > 0 {
		begin = max(begin, step.occ.steps[0].since)
	}
	objective := queue.Objective
	if step.spec.Lasting {
		step.order = orderKey{over: j.over, priority: queue.Priority, deadline: step.since + objective}
		return
	}
	objective += time.Duration(queue.Stretch * float64(step.occ.chain))
	if queue.Advice != nil {
		objective += queue.Advice.Base + time.Duration(len(s.targets))*queue.Advice.PerTarget
	}
	step.order = orderKey{
		hopeless: s.now+step.chain > begin+hopelessFactor*objective,
		over:     j.over,
		priority: queue.Priority,
		late:     s.now+step.chain > begin+objective,
		deadline: begin + objective,
	}
}
