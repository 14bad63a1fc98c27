package explain

// FindingKind names something that should never be.
type FindingKind string

// The kinds of findings.
const (
	FindingStartedAfterDone FindingKind = "started-after-done"
	FindingTwoRuns          FindingKind = "two-runs"
	FindingDoneTwice        FindingKind = "done-twice"
	FindingNeverPlaced      FindingKind = "never-placed"
	FindingTwoFinals        FindingKind = "two-finals"
	FindingNotFound         FindingKind = "not-found"
)

// Finding is something that should never be.
type Finding struct {
	Kind   FindingKind `json:"kind"`
	Time   string      `json:"time"`
	Text   string      `json:"text"`
	Caveat string      `json:"caveat,omitempty"` // Why it may be in order all the same.
}
