package proofs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/proofs"
	"cyclamendyke/standin/kv"
)

// shortSubmission returns a request for one task that runs for one second.
func shortSubmission(name string) cyclamendyke.Submission {
	return cyclamendyke.Submission{
		Route:   "batch",
		Tasks:   1,
		PerTask: cyclamendyke.Resources{Cores: 500, Memory: 64},
		Payload: "output=" + name + " sleep=1s",
	}
}

// withZone runs a test against a cell without faults and passes it the scheduler and the standby of
// zone z0.
func withZone(t *testing.T, test func(is *is.I, cell *proofs.Cell, scheduler, standby *proofs.Node)) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(t, 1)
		defer cell.Close()
		time.Sleep(20 * time.Second)
		scheduler, standby := cell.Nodes[0], cell.Nodes[1]
		if cell.Scheduler("z0") == standby {
			scheduler, standby = standby, scheduler
		}
		test(is.New(t), cell, scheduler, standby)
	})
}

// waitFor lets the fake clock run until condition is true, for at most d, and reports whether it
// became true.
func waitFor(d time.Duration, condition func() bool) bool {
	for range d / (100 * time.Millisecond) {
		if condition() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func setAllFaults(node *proofs.Node, fault proofs.Fault) {
	for _, injector := range []*proofs.FaultInjector{node.StoreFaults, node.WorkerFaults, node.PeerFaults} {
		injector.Set(fault)
	}
}

// submitAll submits requests without waiting for their answers and returns the history that records
// them.
func submitAll(node *proofs.Node, submissions ...cyclamendyke.Submission) *proofs.History {
	history := &proofs.History{}
	daemon := node.Daemon
	for _, submission := range submissions {
		request := history.Add(submission)
		go func() { history.SetOutcome(request, daemon.Submit(context.Background(), "", submission)) }()
	}
	return history
}

func allAnswered(history *proofs.History) bool {
	for _, request := range history.Requests() {
		if !request.Answered {
			return false
		}
	}
	return true
}

// TestDelayedStartAfterTakeover guards against running a task twice when a start call of the old scheduler
// arrives after a takeover. The call is frozen or delayed after the scheduler has checked its authority.
func TestDelayedStartAfterTakeover(t *testing.T) {
	for _, fault := range []proofs.Fault{proofs.FaultFrozen, proofs.FaultDelayRequests} {
		t.Run(string(fault), func(t *testing.T) {
			withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, standby *proofs.Node) {
				scheduler.WorkerFaults.Set(fault)
				scheduler.StoreFaults.Set(proofs.FaultDropRequests)
				notRepeatable := shortSubmission("once")
				notRepeatable.NotRepeatable = true
				history := submitAll(standby, shortSubmission("a"), shortSubmission("b"), notRepeatable)
				time.Sleep(500 * time.Millisecond)
				scheduler.PeerFaults.Set(proofs.FaultDropRequests)
				is.True(waitFor(2*time.Minute, func() bool { return cell.Scheduler("z0") == standby }))
				scheduler.WorkerFaults.Set(proofs.FaultNone)
				is.True(waitFor(5*time.Minute, func() bool { return allAnswered(history) }))
				time.Sleep(time.Minute)
				is.NoErr(cell.Check(history, teamLimits))
				for _, request := range history.Requests() {
					is.True(cell.Fleet.StartCount(request.Payload) <= 1)
					if !request.Submission.NotRepeatable {
						is.Equal(request.Outcome.Verdict, cyclamendyke.VerdictRan)
					}
				}
			})
		})
	}
}

// TestNotRepeatableAcrossTakeover kills the scheduler at various moments of a not-repeatable request and
// submits the request again through the standby. With a delay of 2 s or more, the scheduler is cut off
// from its peers before the task ends, so that the answer is lost too.
func TestNotRepeatableAcrossTakeover(t *testing.T) {
	for _, deciseconds := range []int{0, 1, 2, 3, 5, 8, 10, 11, 12, 20, 40, 80} {
		t.Run(fmt.Sprintf("killed-after-%d00ms", deciseconds), func(t *testing.T) {
			withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, standby *proofs.Node) {
				submission := shortSubmission("redaction")
				submission.NotRepeatable = true
				submission.IdempotencyKey = "k1"
				history := submitAll(standby, submission)
				if deciseconds >= 20 {
					time.Sleep(900 * time.Millisecond)
					scheduler.PeerFaults.Set(proofs.FaultDropRequests)
				}
				time.Sleep(time.Duration(deciseconds) * 100 * time.Millisecond)
				is.NoErr(cell.Restart(scheduler))
				is.True(waitFor(6*time.Minute, func() bool { return allAnswered(history) }))
				repeated := standby.Submit(context.Background(), "", submission)
				is.NoErr(cell.Check(history, teamLimits))
				is.True(cell.Fleet.StartCount(submission.Payload) <= 1)
				if repeated.Verdict == cyclamendyke.VerdictRan {
					is.Equal(cell.Fleet.StartCount(submission.Payload), 1)
				}
			})
		})
	}
}

// TestDrainAnswersEveryRequest drains the scheduler while requests through both nodes are in progress.
func TestDrainAnswersEveryRequest(t *testing.T) {
	withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, standby *proofs.Node) {
		viaScheduler := make([]cyclamendyke.Submission, 0, 10)
		viaStandby := make([]cyclamendyke.Submission, 0, 10)
		for i := range 10 {
			viaScheduler = append(viaScheduler, shortSubmission(fmt.Sprintf("h%d", i)))
			viaStandby = append(viaStandby, shortSubmission(fmt.Sprintf("t%d", i)))
		}
		histories := []*proofs.History{submitAll(scheduler, viaScheduler...), submitAll(standby, viaStandby...)}
		time.Sleep(300 * time.Millisecond)
		scheduler.Drain()
		is.True(allAnswered(histories[0])) // Drain returns only after the node has answered all its requests.
		is.True(waitFor(2*time.Minute, func() bool { return allAnswered(histories[1]) }))
		for _, history := range histories {
			is.NoErr(cell.Check(history, teamLimits))
			for _, request := range history.Requests() {
				is.Equal(request.Outcome.Verdict, cyclamendyke.VerdictRan)
			}
		}
	})
}

// TestZoneContinuesWithoutStore makes the store unreachable for over 15 minutes and cuts off the
// scheduler after 15.
func TestZoneContinuesWithoutStore(t *testing.T) {
	withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, standby *proofs.Node) {
		cell.Store.SetFaults(kv.Faults{Silent: true})
		for i := range 15 {
			time.Sleep(time.Minute)
			is.Equal(cell.Scheduler("z0"), scheduler)
			outcome := scheduler.Submit(context.Background(), "", shortSubmission(fmt.Sprintf("x%d", i)))
			is.Equal(outcome.Verdict, cyclamendyke.VerdictRan)
		}
		detached := shortSubmission("kept")
		detached.Detach = true
		is.Equal(scheduler.Submit(context.Background(), "", detached).Reason, cyclamendyke.ReasonStoreUnavailable)
		setAllFaults(scheduler, proofs.FaultDropRequests)
		cutOffAt := time.Now()
		is.True(waitFor(2*time.Minute, func() bool { return cell.Scheduler("z0") == standby }))
		t.Logf("takeover without the store after %s", time.Since(cutOffAt))
		cell.Store.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		is.Equal(cell.Scheduler("z0"), standby)
		is.Equal(standby.Submit(context.Background(), "", shortSubmission("y")).Verdict, cyclamendyke.VerdictRan)
		is.NoErr(cell.Check(&proofs.History{}, teamLimits))
	})
}

// TestLeavingWorkersGetNoNewTasks marks all workers of the zone but one as leaving and submits more
// tasks than that one has room for.
func TestLeavingWorkersGetNoNewTasks(t *testing.T) {
	withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, _ *proofs.Node) {
		leaving := []cyclamendyke.WorkerName{"z0-w0", "z0-w1"}
		for _, name := range leaving {
			is.True(cell.VMs.SetState(name, cyclamendyke.VMLeaving))
		}
		time.Sleep(8 * time.Second) // The lag of the VM list, the polling interval and the grace period.
		for i := range 40 {
			submission := shortSubmission(fmt.Sprintf("l%d", i))
			submission.PerTask.Cores = 1000
			submitAll(scheduler, submission)
			time.Sleep(100 * time.Millisecond)
			for _, name := range leaving {
				is.Equal(len(cell.Fleet.Running(name)), 0)
			}
		}
		time.Sleep(time.Minute)
		is.NoErr(cell.Check(&proofs.History{}, teamLimits))
	})
}

// TestDelayedStartInSameTerm guards against running a task twice when a start call arrives late: the
// task has already run from a retry of the call and its result was reported.
func TestDelayedStartInSameTerm(t *testing.T) {
	withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, _ *proofs.Node) {
		notRepeatable := shortSubmission("once")
		notRepeatable.NotRepeatable = true
		time.Sleep(3 * time.Second) // Between two renewals, so that only starts are delayed.
		scheduler.WorkerFaults.Set(proofs.FaultDelayRequests)
		history := submitAll(scheduler, shortSubmission("a"), notRepeatable)
		time.Sleep(500 * time.Millisecond)
		scheduler.WorkerFaults.Set(proofs.FaultNone)
		is.True(waitFor(time.Minute, func() bool { return allAnswered(history) }))
		time.Sleep(time.Minute)
		is.NoErr(cell.Check(history, teamLimits))
		for _, request := range history.Requests() {
			is.Equal(cell.Fleet.StartCount(request.Payload), 1)
		}
	})
}

// TestRoleSurvivesLostRenewal checks that the scheduler keeps its role if all calls that it sends to
// workers in one second arrive too late. The second is varied over the time that a renewal is held open.
func TestRoleSurvivesLostRenewal(t *testing.T) {
	for offset := range 11 {
		t.Run(fmt.Sprintf("after-%ds", offset), func(t *testing.T) {
			withZone(t, func(is *is.I, cell *proofs.Cell, scheduler, _ *proofs.Node) {
				time.Sleep(time.Duration(offset) * time.Second)
				scheduler.WorkerFaults.Set(proofs.FaultDelayRequests)
				time.Sleep(time.Second)
				scheduler.WorkerFaults.Set(proofs.FaultNone)
				is.True(!waitFor(40*time.Second, func() bool { return cell.Scheduler("z0") != scheduler }))
			})
		})
	}
}
