package progress

import (
	"time"

	"cyclamendyke"
)

// Final is what is stored of a workflow in a final state, in place of its progress.
type Final struct {
	State   cyclamendyke.WorkflowState `json:"state"`
	Team    cyclamendyke.TeamName      `json:"team"`
	EndedAt time.Time                  `json:"ended"`
	// IsTombstone says that no such workflow was stored when its cancellation was answered. It is not shown; writes of the
	// workflow that were sent before must fail.
	IsTombstone bool `json:"tombstone,omitempty"`
}

// ExpiryMargin keeps final states longer than promised, for callers that repeat a request late and
// for clocks that differ.
const ExpiryMargin = time.Minute

// Expired reports whether the record need no longer be kept.
func (f Final) Expired(now time.Time, bounds cyclamendyke.Bounds) bool {
	return now.Sub(f.EndedAt) >= bounds.StatusRetention+ExpiryMargin
}
