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

// small is a task that ends by itself after a second.
func small(name string) cyclamendyke.Submission {
	return cyclamendyke.Submission{
		Route:   "batch",
		Tasks:   1,
		PerTask: cyclamendyke.Resources{Cores: 500, Memory: 64},
		Payload: "output=" + name + " sleep=1s",
	}
}

// inZone runs a test against a calm cell and gives it zone z0's scheduler and its standby.
func inZone(t *testing.T, test func(is *is.I, cell *proofs.Cell, holder, standby *proofs.Node)) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(t, 1)
		defer cell.Close()
		time.Sleep(20 * time.Second)
		holder, standby := cell.Nodes[0], cell.Nodes[1]
		if cell.Scheduler("z0") == standby {
			holder, standby = standby, holder
		}
		test(is.New(t), cell, holder, standby)
	})
}

// await lets the fake clock run until done holds, for d at most.
func await(d time.Duration, done func() bool) bool {
	for range d / (100 * time.Millisecond) {
		if done() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func setAll(node *proofs.Node, fault proofs.Fault) {
	for _, gate := range []*proofs.Gate{node.Store, node.Fleet, node.Peers} {
		gate.Set(fault)
	}
}

// submitAll sends requests without waiting and returns their ledger.
func submitAll(node *proofs.Node, submissions ...cyclamendyke.Submission) *proofs.Ledger {
	ledger := &proofs.Ledger{}
	daemon := node.Daemon
	for _, submission := range submissions {
		request := ledger.Add(submission)
		go func() { ledger.Answer(request, daemon.Submit(context.Background(), "", submission)) }()
	}
	return ledger
}

func answered(ledger *proofs.Ledger) bool {
	for _, request := range ledger.Requests() {
		if !request.Answered {
			return false
		}
	}
	return true
}

// TestStartHeldUpPastATakeover freezes the holder, or its network, between its last check and the start, and lets the start go on after the takeover.
func TestStartHeldUpPastATakeover(t *testing.T) {
	for _, fault := range []proofs.Fault{proofs.FaultFrozen, proofs.FaultLateOut} {
		t.Run(string(fault), func(t *testing.T) {
			inZone(t, func(is *is.I, cell *proofs.Cell, holder, standby *proofs.Node) {
				holder.Fleet.Set(fault)
				holder.Store.Set(proofs.FaultCutOut)
				once := small("once")
				once.NotRepeatable = true
				ledger := submitAll(standby, small("a"), small("b"), once)
				time.Sleep(500 * time.Millisecond)
				holder.Peers.Set(proofs.FaultCutOut)
				is.True(await(2*time.Minute, func() bool { return cell.Scheduler("z0") == standby }))
				holder.Fleet.Set(proofs.FaultNone)
				is.True(await(5*time.Minute, func() bool { return answered(ledger) }))
				time.Sleep(time.Minute)
				is.NoErr(cell.Check(ledger, limits))
				for _, request := range ledger.Requests() {
					is.True(cell.Fleet.Runs(request.Payload) <= 1)
					if !request.Submission.NotRepeatable {
						is.Equal(request.Outcome.Verdict, cyclamendyke.VerdictRan)
					}
				}
			})
		})
	}
}

// TestNotRepeatedAcrossTakeover kills the scheduler at moments of a request that must not be repeated, and repeats the request through the other node; from the second second on the answer is lost before.
func TestNotRepeatedAcrossTakeover(t *testing.T) {
	for _, delay := range []int{0, 1, 2, 3, 5, 8, 10, 11, 12, 20, 40, 80} {
		t.Run(fmt.Sprintf("killed-after-%d00ms", delay), func(t *testing.T) {
			inZone(t, func(is *is.I, cell *proofs.Cell, holder, standby *proofs.Node) {
				submission := small("redaction")
				submission.NotRepeatable = true
				submission.IdempotencyKey = "k1"
				ledger := submitAll(standby, submission)
				if delay >= 20 {
					time.Sleep(900 * time.Millisecond)
					holder.Peers.Set(proofs.FaultCutOut)
				}
				time.Sleep(time.Duration(delay) * 100 * time.Millisecond)
				is.NoErr(cell.Restart(holder))
				is.True(await(6*time.Minute, func() bool { return answered(ledger) }))
				again := standby.Submit(context.Background(), "", submission)
				is.NoErr(cell.Check(ledger, limits))
				is.True(cell.Fleet.Runs(submission.Payload) <= 1)
				if again.Verdict == cyclamendyke.VerdictRan {
					is.Equal(cell.Fleet.Runs(submission.Payload), 1)
				}
			})
		})
	}
}

// TestPlannedStopCutsOffNoRequest stops the holder with requests in progress through both nodes.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	inZone(t, func(is *is.I, cell *proofs.Cell, holder, standby *proofs.Node) {
		here := make([]cyclamendyke.Submission, 0, 10)
		there := make([]cyclamendyke.Submission, 0, 10)
		for i := range 10 {
			here = append(here, small(fmt.Sprintf("h%d", i)))
			there = append(there, small(fmt.Sprintf("t%d", i)))
		}
		ledgers := []*proofs.Ledger{submitAll(holder, here...), submitAll(standby, there...)}
		time.Sleep(300 * time.Millisecond)
		holder.Drain()
		is.True(answered(ledgers[0])) // A drained process owes no answer.
		is.True(await(2*time.Minute, func() bool { return answered(ledgers[1]) }))
		for _, ledger := range ledgers {
			is.NoErr(cell.Check(ledger, limits))
			for _, request := range ledger.Requests() {
				is.Equal(request.Outcome.Verdict, cyclamendyke.VerdictRan)
			}
		}
	})
}

// TestZoneGoesOnWithoutTheStore keeps the store away for half an hour, and kills the scheduler in the middle of it.
func TestZoneGoesOnWithoutTheStore(t *testing.T) {
	inZone(t, func(is *is.I, cell *proofs.Cell, holder, standby *proofs.Node) {
		cell.Store.SetFaults(kv.Faults{Silent: true})
		for i := range 15 {
			time.Sleep(time.Minute)
			is.Equal(cell.Scheduler("z0"), holder)
			outcome := holder.Submit(context.Background(), "", small(fmt.Sprintf("x%d", i)))
			is.Equal(outcome.Verdict, cyclamendyke.VerdictRan)
		}
		kept := small("kept")
		kept.Detach = true
		is.Equal(holder.Submit(context.Background(), "", kept).Reason, cyclamendyke.ReasonStoreUnavailable)
		setAll(holder, proofs.FaultCutOut)
		begun := time.Now()
		is.True(await(2*time.Minute, func() bool { return cell.Scheduler("z0") == standby }))
		t.Logf("takeover without the store after %s", time.Since(begun))
		cell.Store.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		is.Equal(cell.Scheduler("z0"), standby)
		is.Equal(standby.Submit(context.Background(), "", small("y")).Verdict, cyclamendyke.VerdictRan)
		is.NoErr(cell.Check(&proofs.Ledger{}, limits))
	})
}

// TestLeavingWorkersGetNoNewWork marks all workers but one as leaving and hands in more than that one holds.
func TestLeavingWorkersGetNoNewWork(t *testing.T) {
	inZone(t, func(is *is.I, cell *proofs.Cell, holder, _ *proofs.Node) {
		leaving := []cyclamendyke.WorkerName{"z0-w0", "z0-w1"}
		for _, name := range leaving {
			is.True(cell.VMs.SetState(name, cyclamendyke.VMLeaving))
		}
		time.Sleep(8 * time.Second) // The list's lag, its polling and the grace.
		for i := range 40 {
			submission := small(fmt.Sprintf("l%d", i))
			submission.PerTask.Cores = 1000
			submitAll(holder, submission)
			time.Sleep(100 * time.Millisecond)
			for _, name := range leaving {
				is.Equal(len(cell.Fleet.Running(name)), 0)
			}
		}
		time.Sleep(time.Minute)
		is.NoErr(cell.Check(&proofs.Ledger{}, limits))
	})
}

// TestLateStartInTheSameTerm delays the first copies of starts until their tasks have run from a later copy and were reported.
func TestLateStartInTheSameTerm(t *testing.T) {
	inZone(t, func(is *is.I, cell *proofs.Cell, holder, _ *proofs.Node) {
		once := small("once")
		once.NotRepeatable = true
		time.Sleep(3 * time.Second) // Between two renewals, so that only starts are late.
		holder.Fleet.Set(proofs.FaultLateOut)
		ledger := submitAll(holder, small("a"), once)
		time.Sleep(500 * time.Millisecond)
		holder.Fleet.Set(proofs.FaultNone)
		is.True(await(time.Minute, func() bool { return answered(ledger) }))
		time.Sleep(time.Minute)
		is.NoErr(cell.Check(ledger, limits))
		for _, request := range ledger.Requests() {
			is.Equal(cell.Fleet.Runs(request.Payload), 1)
		}
	})
}

// TestRoleOutlivesOneLostRenewal loses what the holder sends for a second, at each second of the renewals' hold.
func TestRoleOutlivesOneLostRenewal(t *testing.T) {
	for offset := range 11 {
		t.Run(fmt.Sprintf("after-%ds", offset), func(t *testing.T) {
			inZone(t, func(is *is.I, cell *proofs.Cell, holder, _ *proofs.Node) {
				time.Sleep(time.Duration(offset) * time.Second)
				holder.Fleet.Set(proofs.FaultLateOut)
				time.Sleep(time.Second)
				holder.Fleet.Set(proofs.FaultNone)
				is.True(!await(40*time.Second, func() bool { return cell.Scheduler("z0") != holder }))
			})
		})
	}
}
