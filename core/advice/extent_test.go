package advice_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/core/advice"
)

// extentOf returns how many targets a call names if the same number of tasks is expected on each.
func extentOf(base, perTarget time.Duration, tasks int, onEach float64) int {
	extent := advice.NewExtent(base, perTarget, tasks)
	for named := range 1000 {
		if !extent.Worth(onEach) {
			return named
		}
		extent.Add(onEach)
	}
	return 1000
}

func TestExtentGrowsWithTheNeedAndTheFixedPart(t *testing.T) {
	is := is.New(t)
	few := extentOf(200*time.Millisecond, 3*time.Millisecond, 2, 0.5)
	is.True(few >= 4)                                                          // Room for all, as far as is expected.
	is.True(few < extentOf(200*time.Millisecond, 3*time.Millisecond, 10, 0.5)) // More tasks.
	is.True(few < extentOf(800*time.Millisecond, 3*time.Millisecond, 2, 0.5))  // Another call would cost more.
	is.True(few > extentOf(200*time.Millisecond, 40*time.Millisecond, 2, 0.5))
}

func TestTargetsWithoutRoomAreNotNamed(t *testing.T) {
	is := is.New(t)
	is.Equal(extentOf(200*time.Millisecond, 3*time.Millisecond, 5, 0), 0)
}
