package config

import "cyclamendyke"

type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is compares it with the kinds of the root package.
type Error struct {
	baseError
	Current cyclamendyke.Revision // The revision in the store; zero if it was not read.
}

func newError(op string, kind cyclamendyke.Kind, current cyclamendyke.Revision, err error) *Error {
	return &Error{baseError: baseError{Op: "config." + op, Kind: kind, Err: err}, Current: current}
}
