package dispatch

import (
	"cmp"
	"slices"
)

// activeSteps holds the released steps with tasks that are not done. It keeps the order of the last
// pass, because sorting thousands of steps that are almost in order is cheap.
type activeSteps struct {
	steps []*stepRun // Also holds steps that became inactive since the last call of sorted.
}

func (a *activeSteps) add(step *stepRun) {
	step.active = true
	if !step.inActiveList {
		step.inActiveList = true
		a.steps = append(a.steps, step)
	}
}

func (a *activeSteps) remove(step *stepRun) {
	step.active = false
}

// sorted drops inactive steps, calls rank to update the rankKey of the others, and returns them in
// order of rank.
func (a *activeSteps) sorted(rank func(*stepRun)) []*stepRun {
	a.steps = slices.DeleteFunc(a.steps, func(step *stepRun) bool {
		step.inActiveList = step.active
		return !step.active
	})
	for _, step := range a.steps {
		rank(step)
	}
	slices.SortFunc(a.steps, func(x, y *stepRun) int {
		return cmp.Or(
			x.rankKey.compare(y.rankKey),
			cmp.Compare(x.job.spec.ID, y.job.spec.ID),
			cmp.Compare(x.occ.number, y.occ.number),
			cmp.Compare(x.index, y.index),
		)
	})
	return a.steps
}
