package caller

import (
	"context"

	"cyclamendyke"
)

// baseError is an alias because an embedded field named Error would hide the method Error.
type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is matches it with its kind.
type Error struct {
	baseError
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "caller." + op, Kind: kind, Err: err}}
}

// KindDenied means that the key is wrong or was withdrawn.
const KindDenied cyclamendyke.Kind = "denied"

// EditResult is the result of an edit of the tables.
type EditResult struct {
	Revision cyclamendyke.Revision
	Faults   []cyclamendyke.Fault // Not empty if the tables were rejected.
	Conflict bool                 // Another operator's edit came first; Revision is the revision of that edit.
}

// GrantedKey is a new key; its text is shown only once.
type GrantedKey struct {
	ID  string
	Key string
}

// Service implements the calls of the HTTP interface; its errors match KindDenied, KindNotFound,
// KindConflict, KindUnavailable, KindUnknown or KindInvalid.
type Service interface {
	// Submit runs or refuses a job; a refusal is also an Outcome.
	Submit(ctx context.Context, key string, submission cyclamendyke.Submission) cyclamendyke.Outcome
	// RefuseMalformed records a request that could not be decoded and returns its outcome.
	RefuseMalformed(reason cyclamendyke.Reason, detail string) cyclamendyke.Outcome
	// Status returns the status of a request of the key's team.
	Status(ctx context.Context, key string, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Cancel cancels a job of the key's team.
	Cancel(ctx context.Context, key string, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)

	// IsOperator reports whether the key is the operators' key.
	IsOperator(key string) bool
	// Tables returns the latest tables in this process's view.
	Tables(ctx context.Context) (cyclamendyke.TablesText, cyclamendyke.Revision, error)
	// CheckTables returns every fault in the tables.
	CheckTables(text cyclamendyke.TablesText) []cyclamendyke.Fault
	// EditTables replaces the tables if the revision is the expected one.
	EditTables(ctx context.Context, text cyclamendyke.TablesText, expected cyclamendyke.Revision) (EditResult, error)
	// Members returns the state of every process and the processes that did not answer.
	Members(ctx context.Context) ([]cyclamendyke.MemberState, []cyclamendyke.Member)
	// GrantKey creates a key for a team.
	GrantKey(ctx context.Context, team cyclamendyke.TeamName) (GrantedKey, error)
	// Keys lists the keys without their secrets.
	Keys(ctx context.Context) ([]cyclamendyke.KeyRecord, error)
	// WithdrawKey withdraws a key and returns the revision of the keys without it.
	WithdrawKey(ctx context.Context, id string) (cyclamendyke.Revision, error)
	// Workers returns the workers of a zone, or of this process's zone if zone is empty.
	Workers(ctx context.Context, zone cyclamendyke.ZoneName) (cyclamendyke.ZoneName, []cyclamendyke.WorkerState, error)
	// Allotments returns how each team's upper limit is divided among the zones, and the latest
	// revision of that division.
	Allotments(ctx context.Context) (map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments, cyclamendyke.Revision)
	// Timeline returns this process's timeline events that match the filter.
	Timeline(filter cyclamendyke.TimelineFilter) (cyclamendyke.MemberName, []cyclamendyke.TimelineEvent)
	// Account returns the accounting records in the store, and whether earlier ones were left out.
	Account(ctx context.Context, request cyclamendyke.RequestID, team cyclamendyke.TeamName, zone cyclamendyke.ZoneName) ([]cyclamendyke.AccountRecord, bool, error)
}
