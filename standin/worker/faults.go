package worker

import (
	"slices"

	"cyclamendyke/standin"
)

// LoseAllAnswers is the value of Faults.LoseAnswers that loses the responses to all calls.
const LoseAllAnswers = -1

// Faults are the faults that one worker simulates until the next call of SetFaults.
type Faults struct {
	FailAll     bool             `json:"fail-all"`     // Every task fails as soon as it is started, with exit code 1.
	Silent      bool             `json:"silent"`       // No call takes effect or gets a response; running tasks continue until their leases expire.
	Dead        bool             `json:"dead"`         // The VM has stopped and lost its tasks, but not its fence and session.
	Delay       standin.Duration `json:"delay"`        // Time before each call takes effect.
	LoseAnswers int              `json:"lose-answers"` // Number of calls that take effect, but whose response is lost.
	Cut         []string         `json:"cut"`          // Names of the callers whose calls fail.
}

func (f Faults) blocks(caller string) bool {
	return f.Dead || slices.Contains(f.Cut, caller)
}
