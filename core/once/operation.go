package once

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cyclamendyke"
)

type action string

const (
	actionReserve  action = "reserve"
	actionComplete action = "complete"
	actionRelease  action = "release"
)

// answer is what a reservation ends with.
type answer struct {
	reservation Reservation
	err         error
}

// operation is one change of a slot; applying it twice has the effect of applying it once.
type operation struct {
	action    action
	key       string
	request   cyclamendyke.RequestID
	token     string // Of the reservation that the operation makes or gives back.
	outcome   cyclamendyke.Outcome
	answer    chan answer // Of a reservation or release; holds one.
	abandoned bool        // The caller of a reservation has gone; guarded by the register.

	reservation Reservation // What the last application found.
	created     bool        // The last application made the record, or found the one that it had made.
}

func newReserve(key string, request cyclamendyke.RequestID) *operation {
	token := strconv.FormatUint(rand.Uint64(), 36)
	return &operation{action: actionReserve, key: key, request: request, token: token, answer: make(chan answer, 1)}
}

func newComplete(key string, outcome cyclamendyke.Outcome) *operation {
	return &operation{action: actionComplete, key: key, request: outcome.Request, outcome: outcome}
}

func newRelease(key, token string) *operation {
	return &operation{action: actionRelease, key: key, token: token, answer: make(chan answer, 1)}
}

// apply changes the slot and reports whether it has to be written.
func (o *operation) apply(s *slot, now time.Time) bool {
	at := s.find(o.key)
	switch o.action {
	case actionReserve:
		return o.reserve(s, at, now)
	case actionComplete:
		if at < 0 || s.Records[at].Request != o.request || !s.Records[at].Ended.IsZero() {
			return false
		}
		s.Records[at].Ended = now
		s.Records[at].Outcome = o.outcome
		return true
	default:
		if at >= 0 && s.Records[at].Token == o.token && s.Records[at].Ended.IsZero() {
			s.Records = slices.Delete(s.Records, at, at+1)
		}
		return true // Written in any case, so that a delayed reservation meets another revision.
	}
}

// reserve takes the key if it is free; on a record without outcome it sets its
// token, so that an earlier reservation can no longer give the key back.
func (o *operation) reserve(s *slot, at int, now time.Time) bool {
	if at < 0 {
		s.Records = append(s.Records, record{Key: o.key, Request: o.request, Token: o.token, Reserved: now})
		o.reservation = Reservation{First: true, Request: o.request}
		o.created = true
		return true
	}
	found := &s.Records[at]
	open := found.Ended.IsZero()
	o.reservation = Reservation{
		First:   open && found.Request == o.request,
		Request: found.Request,
		Outcome: found.Outcome,
	}
	if found.Token == o.token {
		return false // Written by an earlier attempt whose answer was lost.
	}
	o.created = false
	if open {
		found.Token = o.token
	}
	return open
}
