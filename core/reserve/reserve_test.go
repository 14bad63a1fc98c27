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

// TestReservedRoomStandsIdle guards against work that waits beside idle room, and against a holder that loses its room as it starts.
func TestReservedRoomStandsIdle(t *testing.T) {
	rule := Override{Patience: time.Second, Soon: 500 * time.Millisecond, Busy: 0.5}
	long := Idle{For: time.Second, StartIn: 8 * time.Second}
	for _, test := range []struct {
		name    string
		idle    Idle
		lasts   bool
		used    float64
		allowed bool
	}{
		{name: "has not idled", idle: Idle{StartIn: 8 * time.Second}, lasts: true},
		{name: "lasts, in a busy service", idle: long, lasts: true, used: 0.9, allowed: true},
		{name: "ends, in a busy service", idle: long, used: 0.5},
		{name: "ends, in a service with idle room", idle: long, used: 0.4, allowed: true},
		{name: "the holder starts soon", idle: Idle{For: 9 * time.Second, StartIn: 500 * time.Millisecond, SoonFor: 100 * time.Millisecond}, lasts: true},
		{name: "the holder was to start soon", idle: Idle{For: 9 * time.Second, StartIn: 100 * time.Millisecond, SoonFor: time.Second}, lasts: true, allowed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(rule.Allows(test.idle, test.lasts, test.used), test.allowed)
		})
	}
}
