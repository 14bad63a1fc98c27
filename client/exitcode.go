package client

import (
	"errors"

	"cyclamendyke"
)

// ExitCode is the exit status of the command line.
type ExitCode int

// The exit codes, as docs/OPERATIONS.md lists them.
const (
	ExitDone        ExitCode = 0 // The command did what it says; submitted work ran and every task exited with 0.
	ExitTaskFailed  ExitCode = 1 // The work ran and a task failed.
	ExitUsage       ExitCode = 2 // Flags, files or tables are wrong.
	ExitNotRun      ExitCode = 3 // Nothing of the work ran.
	ExitMayHaveRun  ExitCode = 4 // The work, or the change, may have taken effect.
	ExitUnreachable ExitCode = 5 // No entry VM could be reached, or it could not reach the store.
	ExitConflict    ExitCode = 6 // Another operator was first.
	ExitNotFound    ExitCode = 7
	ExitBadKey      ExitCode = 8
	ExitWaitedOut   ExitCode = 9 // The time to wait is over.
)

// exitCodeOf returns the exit code of a command that ended with err.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	var clientErr *Error
	if errors.As(err, &clientErr) && clientErr.Exit != ExitDone {
		return clientErr.Exit
	}
	switch {
	case errors.Is(err, cyclamendyke.KindUnavailable), errors.Is(err, cyclamendyke.KindLimited):
		return ExitUnreachable
	case errors.Is(err, cyclamendyke.KindUnknown):
		return ExitMayHaveRun
	case errors.Is(err, cyclamendyke.KindConflict):
		return ExitConflict
	case errors.Is(err, cyclamendyke.KindNotFound):
		return ExitNotFound
	default:
		return ExitUsage
	}
}

// exitCodeOfOutcome returns the exit code of a submission or of a status.
func exitCodeOfOutcome(outcome cyclamendyke.Outcome) ExitCode {
	switch outcome.Verdict {
	case cyclamendyke.VerdictPending:
		return ExitDone
	case cyclamendyke.VerdictRan:
		for _, result := range outcome.Results {
			if result.ExitCode != 0 {
				return ExitTaskFailed
			}
		}
		return ExitDone
	case cyclamendyke.VerdictNotRun:
		if isKeyReason(outcome.Reason) {
			return ExitBadKey
		}
		return ExitNotRun
	default:
		return ExitMayHaveRun
	}
}

func isKeyReason(reason cyclamendyke.Reason) bool {
	return reason == cyclamendyke.ReasonBadKey || reason == cyclamendyke.ReasonWrongTeam
}
