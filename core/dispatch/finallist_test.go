package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// loseFullVM fills vm-0, has another workflow wait for room, and begins the next epoch with vm-0 gone and
// another VM in its place.
func loseFullVM(t *testing.T, asksLast bool) *simulation {
	t.Helper()
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(wholeVM("running", 30*time.Second))
	sim.run(500 * time.Millisecond)
	sim.submit(wholeVM("waiting", 20*time.Second))
	sim.run(500 * time.Millisecond)
	sim.storeBackAt = sim.now + time.Second
	sim.vms["vm-0"].unreachable = true
	sim.run(time.Second)
	sim.removeDescription(sim.vms["vm-0"])
	sim.asksLast = asksLast
	sim.elect()
	sim.addOtherVM()
	return sim
}

// TestOnlyListedTasksWaitWithFinalList compares takeovers with and without the final list of the last scheduler.
func TestOnlyListedTasksWaitWithFinalList(t *testing.T) {
	for _, test := range []struct {
		name        string
		asksLast    bool
		wantAtOnce  int
		wantAtLease int
	}{
		{"with the list", true, 2, 3},
		{"without", false, 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := loseFullVM(t, test.asksLast)
			third := cyclamendyke.Target{ID: "third", Service: "s", Address: "third", Capacity: cores(16)}
			sim.run(500 * time.Millisecond)
			is.Equal(sim.starts, test.wantAtOnce)
			if test.asksLast {
				sim.addVM(third)
			}
			sim.run(lease.Longest(sim.maxLease) - 4*time.Second)
			is.Equal(sim.starts, test.wantAtOnce)
			sim.run(4 * time.Second)
			is.Equal(sim.starts, test.wantAtLease)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestSecondTakeoverGoesOnWaiting begins a third epoch 4 s after the second, which did or did not know the runs
// on the lost VM.
func TestSecondTakeoverGoesOnWaiting(t *testing.T) {
	for _, test := range []struct {
		name       string
		asksLast   bool
		wantBefore int
		wantAfter  int
	}{
		{"list of all runs", true, 2, 3},
		{"incomplete list", false, 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := loseFullVM(t, test.asksLast)
			sim.run(4 * time.Second)
			if test.asksLast {
				sim.addVM(cyclamendyke.Target{ID: "third", Service: "s", Address: "third", Capacity: cores(16)})
			}
			sim.asksLast = true
			sim.elect()
			sim.run(2 * time.Second)
			is.Equal(sim.starts, test.wantBefore)
			sim.run(lease.Longest(sim.maxLease) - 5500*time.Millisecond)
			is.Equal(sim.starts, test.wantAfter)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestDoneEndOnLostVMWaitsWithFinalList lets a task end on a VM that is away until after its lease.
func TestDoneEndOnLostVMWaitsWithFinalList(t *testing.T) {
	for _, test := range []struct {
		name  string
		isOld bool // The end was reported and its effect is not stored.
	}{{name: "not reported"}, {name: "reported, not stored", isOld: true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := runOneTask(t)
			sim.addOtherVM()
			sim.stopWriting()
			if test.isOld {
				sim.run(time.Second)
				is.Equal(sim.sched.UnstoredEnds(), 1)
			}
			sim.vms["vm-0"].unreachable = true
			sim.storedRuns = nil
			sim.asksLast = true
			sim.resumeWriting()
			sim.elect()
			sim.returnAfterLongestLease()
			is.Equal(sim.starts, 1)
			is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestCancelledRunInFinalListCounts cancels a workflow whose VM is away, with no list of runs in the store.
func TestCancelledRunInFinalListCounts(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Teams[0].Limit = cores(16)
	sim.stopTime = 3 * time.Second
	sim.elect()
	sim.submit(wholeVM("a", time.Minute))
	sim.run(500 * time.Millisecond)
	sim.addOtherVM()
	sim.vms["vm-0"].unreachable = true
	is.True(sim.sched.Cancel("a", func() {}))
	sim.run(time.Second)
	sim.storedRuns = nil
	sim.asksLast = true
	sim.elect()
	sim.submit(wholeVM("b", time.Second))
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	sim.vms["vm-0"].unreachable = false
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 1)
	sim.run(5 * time.Second)
	is.Equal(sim.status("b"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestFinalListIsIgnored gives a scheduler lists that say nothing of its targets.
func TestFinalListIsIgnored(t *testing.T) {
	info := cyclamendyke.Target{ID: "a", Address: "a", StartedMillis: 5}
	listOf := func(epoch uint64, started int64) []byte {
		s := New(Config{Epoch: epoch, EarlierRunsEndBy: time.Minute})
		target := info
		target.StartedMillis = started
		s.UpdateTarget(target)
		s.targets["a"].listed, s.targets["a"].allEndsListed = true, true
		value, err := s.FinalList(true)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	for _, test := range []struct {
		name      string
		value     []byte
		wantError bool
		want      bool
	}{
		{"of the epoch right before", listOf(2, 5), false, true},
		{"of an earlier epoch", listOf(1, 5), true, false},
		{"of an earlier incarnation", listOf(2, 4), false, false},
		{"not decodable", []byte("no list"), true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Epoch: 3, EarlierRunsEndBy: time.Minute})
			s.UpdateTarget(info)
			_, err := s.AddFinalList(test.value, FinalListTimes{})
			is.Equal(err != nil, test.wantError)
			is.Equal(s.targets["a"].earlierRunsComplete, test.want)
			is.Equal(s.targets["a"].finalListLeaseEnd != 0, test.want)
		})
	}
}

// TestFinalListAfterCutListingIsComplete takes the final list of a target of which only the first page of the ends has come.
func TestFinalListAfterCutListingIsComplete(t *testing.T) {
	is := is.New(t)
	s := New(Config{Epoch: 2, EarlierRunsEndBy: time.Minute})
	s.UpdateTarget(cyclamendyke.Target{ID: "a", Address: "a", StartedMillis: 5})
	s.targets["a"].listed = true
	is.True(!s.describeFinal(s.targets["a"]).Complete)
	s.Advance(2*time.Minute, time.Time{})
	is.True(!s.describeFinal(s.targets["a"]).Complete)
	s.targets["a"].allEndsListed = true
	is.True(s.describeFinal(s.targets["a"]).Complete)
}

// TestFinalListBeforeLoadingTellsHowLongToWait ends a term before it has loaded anything.
func TestFinalListBeforeLoadingTellsHowLongToWait(t *testing.T) {
	is := is.New(t)
	value, err := New(Config{Epoch: 2, EarlierRunsEndBy: 10 * time.Second}).FinalList(false)
	is.NoErr(err)
	s := New(Config{Epoch: 3, EarlierRunsEndBy: time.Minute})
	_, err = s.AddFinalList(value, FinalListTimes{NotAfter: time.Second})
	is.NoErr(err)
	is.Equal(s.cfg.EarlierRunsEndBy, 11*time.Second+lease.Margin)
}
