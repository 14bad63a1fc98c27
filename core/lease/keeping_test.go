package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// newHeldLedger returns a ledger whose first statement is stored at one second, and which holds a lease on target a until six
// seconds on its clock, which reads two seconds less.
func newHeldLedger() *Ledger {
	l := newTestLedger(1, time.Second, nil)
	l.Take(time.Second)
	l.Stored()
	l.Hold([]Holding{heldOnA(time.Second)}, time.Second)
	return l
}

func heldOnA(readAt time.Duration) Holding {
	return Holding{Target: cyclamendyke.Target{ID: "a", StartedMillis: 5}, Clock: readAt - 500*time.Millisecond, ReadAt: readAt, GrantedEnd: 6 * time.Second}
}

// TestLateRenewalExtendsLease is late, gets an answer, and is given the leases back.
func TestLateRenewalExtendsLease(t *testing.T) {
	is := is.New(t)
	l := newHeldLedger()
	is.Equal(l.Lateness(2*time.Second), time.Duration(0))
	is.Equal(l.Lateness(3*time.Second), 2*time.Second)
	due := l.TakeLateRenewals(3 * time.Second)
	is.Equal(len(due), 1)
	is.Equal(due[0].Until, time.Duration(0)) // The clock was read too long ago.
	is.Equal(len(l.TakeLateRenewals(time.Minute)), 0)
	l.Answered(due[0].Target, 2700*time.Millisecond, 5, 3200*time.Millisecond)
	due = l.TakeLateRenewals(3300 * time.Millisecond)
	is.Equal(due[0].Until, 500*time.Millisecond+LongestGrant(testMaxLease)) // As the stored round allows.
	l.Answered(due[0].Target, 2900*time.Millisecond, 5, 3400*time.Millisecond)
	is.Equal(len(l.TakeLateRenewals(3500*time.Millisecond)), 0)
	kept := l.Kept()["a"]
	is.Equal(kept.GrantedEnd, due[0].Until)
	is.Equal(kept.Clock, 2900*time.Millisecond)
	is.Equal(len(l.Kept()), 0)
}

// TestUnansweredTargetGetsNoLateLease has the target answer nothing, then again, then as its next incarnation.
func TestUnansweredTargetGetsNoLateLease(t *testing.T) {
	is := is.New(t)
	l := newHeldLedger()
	target := heldOnA(time.Second).Target
	is.True(l.TakeLateRenewals(2 * time.Second)[0].Until != 0)
	l.Unanswered(target)
	is.Equal(l.TakeLateRenewals(3 * time.Second)[0].Until, time.Duration(0))
	l.Answered(target, 3*time.Second, 5, 3500*time.Millisecond)
	is.True(l.TakeLateRenewals(4 * time.Second)[0].Until != 0)
	l.Answered(target, time.Millisecond, 6, 4500*time.Millisecond)
	is.Equal(len(l.TakeLateRenewals(time.Minute)), 0)
	l.Hold([]Holding{{Target: cyclamendyke.Target{ID: "a", StartedMillis: 6}, Clock: time.Second, ReadAt: 6 * time.Second}}, 6*time.Second)
	due := l.TakeLateRenewals(7 * time.Second)
	is.Equal(due[0].Until, 3250*time.Millisecond) // By the new incarnation's clock.
}

// TestSilentEntryIgnoresLateLease enters a target that has got a late lease which its scheduler does not know of.
func TestSilentEntryIgnoresLateLease(t *testing.T) {
	is := is.New(t)
	l := newHeldLedger()
	until := l.TakeLateRenewals(2 * time.Second)[0].Until
	is.True(l.SetSilent("a", 7*time.Second, 3*time.Second))
	left := time.Duration(l.Take(3 * time.Second).Silent[0].LeftMillis) * time.Millisecond
	is.True(left >= until+500*time.Millisecond-3*time.Second)
	is.Equal(len(l.TakeLateRenewals(time.Minute)), 0)
	l.Hold([]Holding{heldOnA(4 * time.Second)}, 4*time.Second)
	is.Equal(l.TakeLateRenewals(5 * time.Second)[0].Until, time.Duration(0)) // Nothing is granted to a silent target.
}

// TestReleasedLeasesAreRenewedLate ends the renewals for good.
func TestReleasedLeasesAreRenewedLate(t *testing.T) {
	is := is.New(t)
	l := newHeldLedger()
	l.ReleaseAll()
	is.Equal(l.Lateness(time.Minute), time.Duration(0))
	is.Equal(len(l.TakeLateRenewals(time.Minute)), 0)
}
