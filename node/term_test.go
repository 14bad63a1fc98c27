package node

import (
	"testing"

	"cyclamendyke/standin/kv"
)

// TestTermThatEndsAtOnceRacesWithItsStart begins terms of a node that is closing; only the race detector can fail it.
func TestTermThatEndsAtOnceRacesWithItsStart(t *testing.T) {
	for range 200 {
		n := newIdleNode(kv.New(kv.Config{}).As("self")).Node
		n.cancel()
		n.beginTerm(electionResult{epoch: 1})
		n.Close()
	}
}
