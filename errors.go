package cyclamendyke

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package's interfaces and can be the target of errors.Is.
type Kind string

// The kinds of error that callers of the interfaces distinguish.
const (
	KindNotFound    Kind = "not found"
	KindConflict    Kind = "conflict"
	KindUnavailable Kind = "unavailable"     // The call had no effect.
	KindUnknown     Kind = "outcome unknown" // The call may have taken effect.
	KindLimited     Kind = "rate limited"    // The call had no effect.
	KindTooLarge    Kind = "too large"
	KindFenced      Kind = "fenced"     // The worker has accepted a higher epoch.
	KindSessionHeld Kind = "held"       // Another epoch's session has not expired.
	KindNoSession   Kind = "no session" // The caller's session has expired.
	KindNoRoom      Kind = "no room"
	KindInvalid     Kind = "invalid"
	KindCompacted   Kind = "history is gone" // The store no longer keeps the changes since the given revision.
)

// Error returns the kind's text.
func (k Kind) Error() string {
	return string(k)
}

// Error is the error type of this package's interfaces.
type Error struct {
	Op    string // The operation, such as "store.get".
	Kind  Kind
	Err   error // The cause, which may be nil.
	Fence Epoch // The worker's current fence; set with KindFenced and KindSessionHeld.
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, ok := target.(Kind)
	return ok && kind == e.Kind
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ErrorKind returns the error's kind.
func (e *Error) ErrorKind() Kind {
	return e.Kind
}

// ErrorKind returns the kind itself.
func (k Kind) ErrorKind() Kind {
	return k
}

// KindOf returns the outermost kind in the error's chain. It is empty for nil and KindUnknown for
// an error without a kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	for cause := err; cause != nil; cause = errors.Unwrap(cause) {
		if kinded, ok := cause.(interface{ ErrorKind() Kind }); ok {
			return kinded.ErrorKind()
		}
	}
	return KindUnknown
}
