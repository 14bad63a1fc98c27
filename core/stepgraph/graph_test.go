package stepgraph

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
)

// TestLayersTakeLinearTime guards against a walk over every path, of which this workflow has 6 to the power of 2,000.
func TestLayersTakeLinearTime(t *testing.T) {
	is := is.New(t)
	const layers, width = 2000, 6
	steps := make([]cyclamendyke.Step, 0, layers*width)
	for layer := range layers {
		for range width {
			step := cyclamendyke.Step{Count: 1, Estimate: time.Second}
			for before := range width {
				if layer > 0 {
					step.After = append(step.After, (layer-1)*width+before)
				}
			}
			steps = append(steps, step)
		}
	}
	g := New(steps)
	is.Equal(g.CriticalPath(), layers*time.Second)
	is.Equal(g.PathFrom(len(steps)-1), time.Second)
	is.Equal(len(g.Successors(0)), width)
}

// TestPathsMatchDefinition compares the paths of drawn workflows with the plain definition of the longest chain.
func TestPathsMatchDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := make([]cyclamendyke.Step, rapid.IntRange(1, 9).Draw(t, "steps"))
		for i := range steps {
			steps[i].Estimate = time.Duration(rapid.IntRange(0, 9).Draw(t, "estimate"))
			if i > 0 {
				steps[i].After = rapid.SliceOfN(rapid.IntRange(0, i-1), 0, 4).Draw(t, "after")
			}
		}
		g, longest, dependencies := New(steps), time.Duration(0), 0
		for i := range steps {
			if want := longestChain(steps, i); g.PathFrom(i) != want {
				t.Fatalf("path from %d: %v, want %v", i, g.PathFrom(i), want)
			}
			longest = max(longest, g.PathFrom(i))
			dependencies += len(g.Successors(i))
			if int(g.Predecessors()[i]) != len(steps[i].After) {
				t.Fatalf("step %d has %d predecessors", i, g.Predecessors()[i])
			}
			dependencies -= len(steps[i].After)
		}
		if dependencies != 0 || g.CriticalPath() != longest {
			t.Fatalf("%d dependencies too many, critical path %v, want %v", dependencies, g.CriticalPath(), longest)
		}
	})
}

func longestChain(steps []cyclamendyke.Step, from int) time.Duration {
	longest := time.Duration(0)
	for i := range steps {
		for _, before := range steps[i].After {
			if before == from {
				longest = max(longest, longestChain(steps, i))
			}
		}
	}
	return steps[from].Estimate + longest
}
