package client

import (
	"errors"

	"cyclamendyke"
)

// ExitCode is the exit status of the process.
type ExitCode int

// The exit codes, which docs/OPERATIONS.md documents.
const (
	ExitOK          ExitCode = 0 // The command succeeded; if it submitted work, every task exited with 0.
	ExitTaskFailed  ExitCode = 1 // The work ran, but a task failed.
	ExitUsage       ExitCode = 2 // Flags, files or tables are invalid.
	ExitNotRun      ExitCode = 3 // No task of the work ran.
	ExitMayHaveRun  ExitCode = 4 // The work, or the change, may have taken effect.
	ExitUnreachable ExitCode = 5 // No entry VM could be reached, or the entry VM could not reach the store.
	ExitConflict    ExitCode = 6 // Another operator changed the tables first.
	ExitNotFound    ExitCode = 7
	ExitBadKey      ExitCode = 8
	ExitTimeout     ExitCode = 9  // The awaited state was not reached in time.
	ExitNoTrace     ExitCode = 10 // The logs that were read do not name the workflow or task.
)

// exitCodeOf returns the exit code of a command that returned err.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var clientErr *Error
	if errors.As(err, &clientErr) && clientErr.Exit != ExitOK {
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

// exitCodeOfOutcome returns the exit code of a command that prints outcome.
func exitCodeOfOutcome(outcome cyclamendyke.Outcome) ExitCode {
	switch outcome.Verdict {
	case cyclamendyke.VerdictPending:
		return ExitOK
	case cyclamendyke.VerdictRan:
		for _, result := range outcome.Results {
			if result.ExitCode != 0 {
				return ExitTaskFailed
			}
		}
		return ExitOK
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
