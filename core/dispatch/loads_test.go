package dispatch

import (
	"flag"
	"testing"
)

// loadSeed lets a change be compared over many draws of the same loads.
var loadSeed = flag.Uint64("load.seed", 0, "seed of the loads in place of the one in their files")

// TestLoads plays each load of testdata/loads and checks what its callers get.
func TestLoads(t *testing.T) {
	for _, name := range loadNames(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := readLoad(t, loadPath(name))
			if *loadSeed != 0 {
				load.Seed = *loadSeed
			}
			p := newLoadPlayer(t, load)
			p.play()
			t.Log("\n" + p.summary())
			for _, violation := range p.violations {
				t.Error(violation)
			}
			for _, check := range load.Expect {
				if text := check.violation(p.result(check.includes)); text != "" {
					t.Error(text)
				}
			}
		})
	}
}
