package crash

import (
	"time"

	"cyclamendyke"
)

// Record is the end of a target's incarnation under a run of a task.
type Record struct {
	Target        cyclamendyke.TargetID `json:"target"`
	StartedMillis int64                 `json:"born-ms"`             // Which incarnation of the target it was.
	Run           int64                 `json:"run,omitempty"`       // Number of the run; zero if unknown.
	LeastMillis   int64                 `json:"least-ms"`            // From the start's order until the target was last known to work.
	MostMillis    int64                 `json:"most-ms"`             // From the start's order until the target did not answer.
	Uncertain     bool                  `json:"uncertain,omitempty"` // The run may not have begun.
	Explained     bool                  `json:"explained,omitempty"` // Another task that ran there is to blame.
	Members       []int                 `json:"members,omitempty"`   // Of a gang: those that ran there.
	Whole         bool                  `json:"whole,omitempty"`     // All members ran there.
	Alone         bool                  `json:"alone,omitempty"`     // Nothing else there was suspected, had begun lately, or explains it.
}

// Least returns for how long the run had worked at least.
func (c Record) Least() time.Duration { return time.Duration(c.LeastMillis) * time.Millisecond }

// Most returns for how long the run had worked at most.
func (c Record) Most() time.Duration { return time.Duration(c.MostMillis) * time.Millisecond }

// IsSame reports whether two tasks ran on the same incarnation when it ended.
func (c Record) IsSame(other Record) bool {
	return c.Target == other.Target && c.StartedMillis == other.StartedMillis
}
