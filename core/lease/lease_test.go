package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testMaxLease = 10 * time.Second

func newTestLedger(epoch uint64, claimedAt time.Duration, stored []SilentTarget) *Ledger {
	return NewLedger(LedgerConfig{Epoch: epoch, ClaimedAt: claimedAt, LongestGrant: LongestGrant(testMaxLease), Stored: stored})
}

// grantsOnA reports whether a lease may be granted on target a.
func grantsOnA(l *Ledger) bool {
	_, may := l.GrantEnd("a")
	return may
}

// TestLeaseOutlastsStoredRound takes rounds that are stored late or never.
func TestLeaseOutlastsStoredRound(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(2, time.Second, nil)
	end, _ := l.GrantEnd("a")
	is.Equal(end, time.Second+LongestGrant(testMaxLease)) // The claim is the first round.
	l.Take(3 * time.Second)
	is.True(!l.Due(time.Minute)) // Only one at a time.
	end, _ = l.GrantEnd("a")
	is.Equal(end, time.Second+LongestGrant(testMaxLease))
	l.Stored()
	end, _ = l.GrantEnd("a")
	is.Equal(end, 3*time.Second+LongestGrant(testMaxLease))
}

// TestLeaseIsGrantedOnSilentTarget enters a target into the list and takes it off again, before and after that is stored.
func TestLeaseIsGrantedOnSilentTarget(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(2, 0, nil)
	is.True(l.SetSilent("a", 5*time.Second, 2*time.Second))
	is.True(!l.SetSilent("a", 9*time.Second, 2*time.Second))
	is.True(!grantsOnA(l))
	first := l.Take(2 * time.Second)
	is.Equal(first.Silent, []SilentTarget{{ID: "a", Serial: first.Silent[0].Serial, LeftMillis: 3000}})
	l.Stored()
	l.ClearSilent("a")
	is.True(!grantsOnA(l)) // The stored list names it.
	second := l.Take(3 * time.Second)
	is.Equal(len(second.Silent), 0)
	is.True(second.SilentChanged)
	is.True(!grantsOnA(l)) // The list without it may not be stored.
	l.SetSilent("a", 8*time.Second, 4*time.Second)
	l.Stored()
	is.True(!grantsOnA(l))
	third := l.Take(5 * time.Second)
	is.True(third.Silent[0].Serial != first.Silent[0].Serial)
	l.Stored()
	l.ClearSilent("a")
	l.Take(6 * time.Second)
	l.Stored()
	is.True(grantsOnA(l))
}

// TestSilentTargetKeepsItsEntryAcrossEpochs passes a list on to the next epoch.
func TestSilentTargetKeepsItsEntryAcrossEpochs(t *testing.T) {
	is := is.New(t)
	first := newTestLedger(1, 0, nil)
	first.SetSilent("a", 5*time.Second, 2*time.Second)
	stored := first.Take(2 * time.Second).Silent
	second := newTestLedger(2, time.Minute, stored)
	is.True(!second.SetSilent("a", 2*time.Minute, time.Minute))
	is.Equal(second.Take(time.Minute).Silent, stored)
}

// TestElectionMovesEndOfLease has members see rounds and an entry at different times, one of them only after an election.
func TestElectionMovesEndOfLease(t *testing.T) {
	is := is.New(t)
	list := []SilentTarget{{ID: "a", Serial: 7, LeftMillis: 4000}}
	early, late := &Sightings{}, &Sightings{}
	early.SeeRound(Round{1, 3}, 10*time.Second)
	early.SeeSilent(list, 10*time.Second)
	early.SeeRound(Round{2, 0}, 15*time.Second) // The claim of the next epoch.
	early.SeeSilent(list, 15*time.Second)
	late.SeeRound(Round{1, 3}, 14*time.Second) // Its clock is the same, for simplicity.
	late.SeeSilent(list, 14*time.Second)
	is.Equal(late.Ends(testMaxLease).Silent["a"], 18*time.Second)
	late.Merge(early.Report(16*time.Second), 16500*time.Millisecond)
	ends := late.Ends(testMaxLease)
	is.Equal(ends.Silent["a"], 14500*time.Millisecond)
	is.Equal(ends.Others, 10500*time.Millisecond+Longest(testMaxLease)+Margin)
	is.Equal((&Sightings{}).Ends(testMaxLease).Others, time.Duration(0))
}

// TestReportOfAnotherRoundChangesLeaseEnd merges a report of a member that has missed the last round and the last entry.
func TestReportOfAnotherRoundChangesLeaseEnd(t *testing.T) {
	is := is.New(t)
	behind, current := &Sightings{}, &Sightings{}
	behind.SeeRound(Round{1, 3}, time.Second)
	behind.SeeSilent([]SilentTarget{{ID: "a", Serial: 7, LeftMillis: 100}}, time.Second)
	current.SeeRound(Round{1, 4}, 9*time.Second)
	current.SeeSilent([]SilentTarget{{ID: "a", Serial: 8, LeftMillis: 5000}}, 9*time.Second)
	before := current.Ends(testMaxLease)
	current.Merge(behind.Report(9*time.Second), 9*time.Second)
	is.Equal(current.Ends(testMaxLease), before)
}
