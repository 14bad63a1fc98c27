package stepgraph

import (
	"slices"
	"time"

	"cyclamendyke"
)

// Graph is the dependencies between the steps of one workflow, each of which depends only on earlier ones.
type Graph struct {
	predecessors []int32         // Number of dependencies of each step, repeated ones included.
	firstOf      []int32         // Where the successors of each step begin in successors, and where the last ones end.
	successors   []int32         // Steps that depend on a step, once for each dependency.
	pathFrom     []time.Duration // Length of the longest chain of estimated work from each step on.
	criticalPath time.Duration
}

// New returns the graph of steps that a workflow's Validate accepts.
func New(steps []cyclamendyke.Step) *Graph {
	g := &Graph{
		predecessors: make([]int32, len(steps)),
		firstOf:      make([]int32, len(steps)+1),
		pathFrom:     make([]time.Duration, len(steps)),
	}
	g.addSuccessors(steps)
	for i := len(steps) - 1; i >= 0; i-- { // The successors of a step come after it.
		longest := time.Duration(0)
		for _, next := range g.Successors(i) {
			longest = max(longest, g.pathFrom[next])
		}
		g.pathFrom[i] = steps[i].Estimate + longest
		g.criticalPath = max(g.criticalPath, g.pathFrom[i])
	}
	return g
}

// addSuccessors groups the dependencies by the step that others wait for.
func (g *Graph) addSuccessors(steps []cyclamendyke.Step) {
	for i := range steps {
		g.predecessors[i] = int32(len(steps[i].After))
		for _, before := range steps[i].After {
			g.firstOf[before+1]++
		}
	}
	for i := range steps {
		g.firstOf[i+1] += g.firstOf[i]
	}
	g.successors = make([]int32, g.firstOf[len(steps)])
	free := slices.Clone(g.firstOf)
	for i := range steps {
		for _, before := range steps[i].After {
			g.successors[free[before]] = int32(i)
			free[before]++
		}
	}
}

// Successors returns the steps that depend on a step, once for each dependency.
func (g *Graph) Successors(step int) []int32 {
	return g.successors[g.firstOf[step]:g.firstOf[step+1]]
}

// Predecessors returns a copy of the number of dependencies of each step, repeated ones included.
func (g *Graph) Predecessors() []int32 {
	return slices.Clone(g.predecessors)
}

// PathFrom returns the length of the longest chain of estimated work from a step on, including the step.
func (g *Graph) PathFrom(step int) time.Duration {
	return g.pathFrom[step]
}

// CriticalPath returns the length of the longest chain of estimated work in the workflow.
func (g *Graph) CriticalPath() time.Duration {
	return g.criticalPath
}
