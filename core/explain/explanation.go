package explain

import (
	"time"

	"cyclamendyke"
)

// Explanation tells what happened to one subject.
type Explanation struct {
	Subject    string      `json:"subject"`
	Found      bool        `json:"found"`   // Some record is about the subject.
	Summary    string      `json:"summary"` // One sentence.
	Findings   []Finding   `json:"findings"`
	Entries    []Entry     `json:"entries"` // In the order of time.
	Schedulers []Scheduler `json:"schedulers"`
	Missing    []Gap       `json:"missing"`
	Duplicates int         `json:"duplicates"` // Lines that were read more than once.
	Omitted    int         `json:"omitted"`    // Lines beyond the limits of what is kept.
}

// EntryKind tells what an entry is about.
type EntryKind string

// The kinds of entries.
const (
	EntrySubject EntryKind = "subject"
	EntryContext EntryKind = "context" // It touches the whole fleet, or a target on which the subject ran.
)

// Entry is one step of what happened, with the inputs of its line.
type Entry struct {
	Time      string                    `json:"time"` // The time stamp of the line.
	ClockStep time.Duration             `json:"clock-step-ns,omitempty"`
	Process   cyclamendyke.MemberName   `json:"process"`
	Others    []cyclamendyke.MemberName `json:"others,omitempty"` // Processes that logged the same right after it.
	Source    string                    `json:"source"`
	Line      int                       `json:"line"`
	Kind      EntryKind                 `json:"kind"`
	Event     string                    `json:"event"`
	Text      string                    `json:"text"`
	Epoch     uint64                    `json:"epoch,omitempty"`
	Scheduler string                    `json:"scheduler,omitempty"` // Who was the scheduler, for a line that names no epoch.
	Task      string                    `json:"task,omitempty"`
	Target    cyclamendyke.TargetID     `json:"target,omitempty"`
	Run       int64                     `json:"run,omitempty"`
	Reason    string                    `json:"reason,omitempty"`
	Count     int                       `json:"count,omitempty"`
	Age       time.Duration             `json:"age-ns,omitempty"`
	Version   int64                     `json:"version,omitempty"`
	StoreAge  time.Duration             `json:"store-age-ns,omitempty"`
	State     string                    `json:"state,omitempty"`
	Err       string                    `json:"err,omitempty"`
}
