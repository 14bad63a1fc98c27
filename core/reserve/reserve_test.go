package reserve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestLine() *Line[string] {
	return NewLine[string](Config{Guarantee: 4 * time.Second, Lapse: time.Second, TrialWait: 2 * time.Second})
}

// TestTwoHoldersWaitForEachOther guards against two claimants that hold room at a time.
func TestTwoHoldersWaitForEachOther(t *testing.T) {
	is := is.New(t)
	line := newTestLine()
	a, b, c := Claimant[string]{ID: "a", Urgency: 2}, Claimant[string]{ID: "b", Urgency: 1}, Claimant[string]{ID: "c"}
	is.True(line.Ask(0, a))
	line.Take(0, a)
	is.True(line.Has("a"))
	is.True(!line.Ask(0, Claimant[string]{ID: "d", Urgency: 2})) // Not more urgent.
	is.True(line.Ask(0, b))
	lost, hasLost := line.Take(0, b)
	is.True(hasLost)
	is.Equal(lost, "a")
	is.True(!line.Has("a"))
	for now := time.Duration(0); now <= 5*time.Second; now += 500 * time.Millisecond {
		is.True(line.Ask(now, b))
		line.Take(now, b)
	}
	is.True(!line.Ask(5*time.Second, c))        // The holder has had the turn for the guaranteed time.
	is.True(line.Ask(6500*time.Millisecond, a)) // It has not asked for a second.
	line.Leave("b")
	is.True(!line.Has("b"))
}

// TestTrialWaitsBehindAllOthers guards against a trial that never gets the turn since others rank before it.
func TestTrialWaitsBehindAllOthers(t *testing.T) {
	is := is.New(t)
	line := newTestLine()
	trial := Claimant[string]{ID: "trial", Urgency: 5, IsTrial: true}
	turns := map[string]int{}
	for n := range 40 {
		now := time.Duration(n) * 100 * time.Millisecond
		other := Claimant[string]{ID: "other", Since: now}
		for _, c := range []Claimant[string]{other, trial} { // In the order of rank.
			if line.Ask(now, c) {
				line.Take(now, c)
				turns[c.ID]++
				line.Leave(c.ID)
				break
			}
		}
		line.Ask(now, trial)
	}
	is.True(turns["trial"] >= 9) // From two seconds on, each second turn.
	is.True(turns["other"] >= 29)
}

// TestPartOfPlacesIsReserved guards against a reservation for a part of what is needed.
func TestPartOfPlacesIsReserved(t *testing.T) {
	is := is.New(t)
	places := []Place[string]{{"t-2", 3}, {"t-1", 0}, {"t-3", 1}, {"t-1", 5}}
	_, _, ok := Earliest(places, 5)
	is.True(!ok)
	chosen, at, ok := Earliest(places, 3)
	is.True(ok)
	is.Equal(chosen, []Place[string]{{"t-1", 0}, {"t-3", 1}, {"t-2", 3}})
	is.Equal(at, time.Duration(3))
}

// TestReservedRoomStandsIdle guards against work that waits beside idle room.
func TestReservedRoomStandsIdle(t *testing.T) {
	rule := Override{Patience: time.Second, Soon: 500 * time.Millisecond, Busy: 0.5}
	for _, test := range []struct {
		name    string
		startAt time.Duration
		waited  time.Duration
		lasts   bool
		used    float64
		allowed bool
	}{
		{name: "has not waited", startAt: 8 * time.Second, lasts: true},
		{name: "lasts, in a busy service", startAt: 8 * time.Second, waited: time.Second, lasts: true, used: 0.9, allowed: true},
		{name: "ends, in a busy service", startAt: 8 * time.Second, waited: time.Second, used: 0.5},
		{name: "ends, in a service with idle room", startAt: 8 * time.Second, waited: time.Second, used: 0.4, allowed: true},
		{name: "the holder starts soon", startAt: 500 * time.Millisecond, waited: time.Second, lasts: true},
		{name: "the holder was to start soon", startAt: 500 * time.Millisecond, waited: 2 * time.Second, lasts: true, allowed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(rule.Allows(0, test.startAt, test.waited, test.lasts, test.used), test.allowed)
		})
	}
}
