package cyclamendyke

import "time"

// Submission is the body of a request to run tasks, as callers send it to an entry VM.
type Submission struct {
	Route          RouteName     `json:"route"`
	Tasks          int           `json:"tasks"`
	PerTask        Resources     `json:"per-task"`
	RunTime        time.Duration `json:"run-time-ns,omitempty"`
	Urgent         bool          `json:"urgent,omitempty"`
	Detach         bool          `json:"detach,omitempty"`
	NotRepeatable  bool          `json:"not-repeatable,omitempty"`
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
	Team           TeamName      `json:"team,omitempty"` // Optional; the request is refused if it is not the key's team.
	Payload        string        `json:"payload,omitempty"`
}
