package kv

import (
	"slices"

	"cyclamendyke/standin"
)

// LoseAllAnswers is the value of Faults.LoseAnswers that loses the responses to all writes.
const LoseAllAnswers = -1

// Faults are the faults that the service simulates until the next call of SetFaults.
type Faults struct {
	Down        bool             `json:"down"`         // Every call fails without taking effect.
	Silent      bool             `json:"silent"`       // No call takes effect or gets a response; each lasts until its context ends.
	Delay       standin.Duration `json:"delay"`        // Time before each call takes effect.
	LoseAnswers int              `json:"lose-answers"` // Number of writes that take effect, but whose response is lost.
	LateWrites  int              `json:"late-writes"`  // Number of writes that get no response and take effect only after LateBy.
	LateBy      standin.Duration `json:"late-by"`
	Cut         []string         `json:"cut"` // Names of the callers whose calls fail.
}

func (f Faults) blocks(caller string) bool {
	return f.Down || slices.Contains(f.Cut, caller)
}
