package dispatch

import (
	"cmp"
	"slices"
)

// activeSteps holds the released steps with tasks that are not done; it stays sorted from pass to pass, so that a pass over thousands of them sorts little.
type activeSteps struct {
	listed []*stepRun // With some that are not active any more.
}

func (a *activeSteps) add(step *stepRun) {
	step.active = true
	if !step.listed {
		step.listed = true
		a.listed = append(a.listed, step)
	}
}

func (a *activeSteps) remove(step *stepRun) {
	step.active = false
}

// inOrder returns the active steps sorted by their order, which rank works out.
func (a *activeSteps) inOrder(rank func(*stepRun)) []*stepRun {
	a.listed = slices.DeleteFunc(a.listed, func(step *stepRun) bool {
		step.listed = step.active
		return !step.active
	})
	for _, step := range a.listed {
		rank(step)
	}
	slices.SortFunc(a.listed, func(x, y *stepRun) int {
		return cmp.Or(
			x.order.compare(y.order),
			cmp.Compare(x.job.spec.ID, y.job.spec.ID),
			cmp.Compare(x.occ.number, y.occ.number),
			cmp.Compare(x.index, y.index),
		)
	})
	return a.listed
}
