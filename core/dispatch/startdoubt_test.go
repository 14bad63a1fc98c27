package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// takeStart runs a pass and returns the start order that it emits, or nil.
func (sim *simulation) takeStart() *StartCommand {
	for _, command := range sim.sched.Run() {
		if c, ok := command.(StartCommand); ok {
			return &c
		}
	}
	return nil
}

// TestRunThatBeginsAfterListingWasAskedForCountsAsEnded has a listing asked for between a refused start and an accepted one.
func TestRunThatBeginsAfterListingWasAskedForCountsAsEnded(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Queues[0].Advice = nil
	sim.elect()
	sim.run(20*time.Second + 100*time.Millisecond) // Runs of earlier epochs are over.
	sched := sim.sched
	info := sim.vms["vm-0"].info
	sim.sched = nil // Messages are passed by hand from here on.
	now := sim.now
	advance := func(d time.Duration) {
		now += d
		sched.Advance(now, sim.wall())
	}
	sched.Submit(oneTask("job"), 1000)
	sim.sched = sched
	advance(time.Millisecond)
	first := sim.takeStart()
	is.True(first != nil)
	advance(startRepeatDelay)
	repeated := sim.takeStart()
	is.True(repeated != nil)
	advance(time.Millisecond)
	sched.Started(info, repeated.Order, cyclamendyke.KindUnavailable, 0)
	asked := now + time.Millisecond
	advance(100 * time.Millisecond)
	sched.Started(info, first.Order, "", 0)
	listing := cyclamendyke.Listing{Clock: now, StartedMillis: info.StartedMillis}
	sched.Renewed(info, true, asked, listing)
	is.Equal(len(sched.targets["vm-0"].runs), 1)
	is.Equal(sim.takeStart(), nil)
	advance(time.Millisecond)
	listing.Clock = now
	sched.Renewed(info, true, now-time.Millisecond/2, listing)
	is.Equal(len(sched.targets["vm-0"].runs), 0) // Asked for after both answers.
}
