package dispatch

import "testing"

// TestLoads plays each load of testdata/loads and checks what its callers get.
func TestLoads(t *testing.T) {
	for _, name := range loadNames(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newLoadPlayer(t, readLoad(t, loadPath(name)))
			p.play()
			t.Log("\n" + p.summary())
			for _, violation := range p.violations {
				t.Error(violation)
			}
		})
	}
}
