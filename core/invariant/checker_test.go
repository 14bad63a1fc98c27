package invariant_test

import (
	"testing"

	"github.com/matryer/is"

	"cyclamendyke/core/invariant"
)

func TestViolationsAreCountedByName(t *testing.T) {
	is := is.New(t)
	var reported []string
	checker := invariant.New(invariant.Config{OnViolation: func(v invariant.Violation) { reported = append(reported, v.String()) }})
	is.True(checker.Check(true, invariant.OnePlace, "unused"))
	is.True(!checker.Check(false, invariant.OnePlace, "task %d", 3))
	checker.RecordViolation("worker-capacity", "w1")
	is.Equal(reported, []string{"one-place: task 3", "worker-capacity: w1"})
	is.Equal(checker.Total(), 2)
	is.Equal(len(checker.Counts()), len(invariant.Names()))
}

func TestFatalCheckerPanics(t *testing.T) {
	is := is.New(t)
	checker := invariant.New(invariant.Config{PanicOnViolation: true})
	defer func() { is.Equal(recover(), "one-place: t") }()
	checker.RecordViolation("one-place", "t")
}
