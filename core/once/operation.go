package once

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cyclamendyke"
)

// action says what an operation does to a record.
type action string

const (
	actionReserve  action = "reserve"
	actionComplete action = "complete"
	actionRelease  action = "release"
)

// opResult is the result of a reservation or release; it is empty for a release.
type opResult struct {
	reservation Reservation
	err         error
}

// operation is an idempotent change of a slot.
type operation struct {
	action    action
	hash      string // Hash of the team and the idempotency key.
	request   cyclamendyke.RequestID
	token     string // Identifies the reservation that the operation makes or releases.
	outcome   cyclamendyke.Outcome
	result    chan opResult // Receives the result of a reservation or release; buffered, so that sending never blocks.
	abandoned bool          // The caller of Reserve stopped waiting; guarded by Registry.mu.

	reservation Reservation // Result of the last call of apply.
	created     bool        // As of the last call of apply, this operation created the record.
}

func newReserve(hash string, request cyclamendyke.RequestID) *operation {
	token := strconv.FormatUint(rand.Uint64(), 36)
	return &operation{action: actionReserve, hash: hash, request: request, token: token, result: make(chan opResult, 1)}
}

func newComplete(hash string, outcome cyclamendyke.Outcome) *operation {
	return &operation{action: actionComplete, hash: hash, request: outcome.Request, outcome: outcome}
}

func newRelease(hash, token string) *operation {
	return &operation{action: actionRelease, hash: hash, token: token, result: make(chan opResult, 1)}
}

// apply changes the slot and reports whether the slot must be written.
func (o *operation) apply(s *slot, now time.Time) bool {
	index := s.indexOf(o.hash)
	switch o.action {
	case actionReserve:
		return o.reserve(s, index, now)
	case actionComplete:
		if index < 0 || s.Records[index].Request != o.request || !s.Records[index].Ended.IsZero() {
			return false
		}
		s.Records[index].Ended = now
		s.Records[index].Outcome = o.outcome
		return true
	default:
		if index >= 0 && s.Records[index].Token == o.token && s.Records[index].Ended.IsZero() {
			s.Records = slices.Delete(s.Records, index, index+1)
		}
		return true // Always written, so that a delayed write of the reservation fails on the changed revision.
	}
}

// reserve creates a record if the key is free. On a record without an outcome it
// replaces the token, so that the earlier reservation can no longer release the key.
func (o *operation) reserve(s *slot, index int, now time.Time) bool {
	if index < 0 {
		s.Records = append(s.Records, record{Key: o.hash, Request: o.request, Token: o.token, Reserved: now})
		o.reservation = Reservation{MayRun: true, Request: o.request}
		o.created = true
		return true
	}
	existing := &s.Records[index]
	incomplete := existing.Ended.IsZero()
	o.reservation = Reservation{
		MayRun:  incomplete && existing.Request == o.request,
		Request: existing.Request,
		Outcome: existing.Outcome,
	}
	if existing.Token == o.token {
		return false // An earlier attempt wrote it, but the store's response was lost.
	}
	o.created = false
	if incomplete {
		existing.Token = o.token
	}
	return incomplete
}
