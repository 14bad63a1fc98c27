package advice_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/advice"
)

const longCall = 1500 * time.Millisecond

// planner returns a planner with members of the given names.
func planner(members ...cyclamendyke.MemberName) *advice.Planner {
	p := advice.NewPlanner()
	p.SetMembers(members)
	p.Advance(time.Hour)
	return p
}

func TestMemberGetsOneLongCallAtATime(t *testing.T) {
	is := is.New(t)
	p := planner("a", "b")
	first := p.Take(false, longCall)
	second := p.Take(false, longCall)
	is.True(first.Member != second.Member)
	is.True(!p.CanTake(false))
	p.Advance(time.Hour + longCall - 50*time.Millisecond) // Nearly answered.
	is.True(p.CanTake(false))
}

func TestMembersAreLeftForUrgentCalls(t *testing.T) {
	is := is.New(t)
	p := planner("a", "b", "c", "d")
	p.SetHasUrgent(true)
	for p.CanTake(false) {
		p.Take(false, longCall)
	}
	for range 3 { // Short ones queue up.
		is.True(p.Take(true, 20*time.Millisecond) != nil)
	}
}

func TestMoreMembersAreLeftWhileUrgentCallsTakeMore(t *testing.T) {
	is := is.New(t)
	count := func(urgentCalls int) int {
		p := planner("a", "b", "c", "d", "e", "f", "g", "h")
		p.SetHasUrgent(true)
		for i := range urgentCalls {
			at := time.Hour + time.Duration(i)*10*time.Millisecond
			p.Advance(at)
			if call := p.Take(true, 20*time.Millisecond); call != nil {
				p.Answered(call.Number, call.Member, at, true)
			}
		}
		patient := 0
		for p.CanTake(false) {
			p.Take(false, longCall)
			patient++
		}
		return patient
	}
	is.Equal(count(0), 7)
	is.True(count(300) < 7)
	is.True(count(300) >= 4) // The other calls keep a half.
}

func TestSilentMemberDoesNotHoldThePlan(t *testing.T) {
	is := is.New(t)
	p := planner("a", "b")
	silent := p.Take(false, longCall)
	is.Equal(len(p.Advance(time.Hour+longCall)), 0)
	overdue := p.Advance(time.Hour + longCall + time.Second)
	is.Equal(len(overdue), 1)
	is.Equal(overdue[0].Number, silent.Number)
	is.True(p.Take(false, longCall).Member != silent.Member) // Elsewhere.
	is.True(!p.CanTake(false))                               // Not at the silent member yet.
	at := time.Hour + longCall + 3*time.Second
	p.Advance(at - time.Second)
	is.True(!p.CanTake(false)) // The service may still be at the overdue call.
	p.Answered(silent.Number, silent.Member, at, false)
	is.True(p.CanTake(false))
	probe := p.Take(false, longCall)
	is.Equal(probe.Member, silent.Member)
	p.Answered(probe.Number, probe.Member, at+longCall, true)
	p.Advance(at + longCall)
	is.True(p.CanTake(false)) // It answers again.
}

func TestFailingMemberGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	p := planner("a")
	calls := 0
	for at := time.Hour; at < time.Hour+20*time.Second; at += 10 * time.Millisecond {
		p.Advance(at)
		if call := p.Take(true, 20*time.Millisecond); call != nil {
			p.Answered(call.Number, call.Member, at, false)
			calls++
		}
	}
	is.True(calls > 4)
	is.True(calls < 20)
}

func TestMemberThatIsSlowToAnswerComesLast(t *testing.T) {
	is := is.New(t)
	p := planner("near", "slow")
	for at := time.Hour; at < time.Hour+10*time.Second; at += time.Second {
		p.Advance(at)
		for range 2 {
			call := p.Take(false, 100*time.Millisecond)
			lag := time.Millisecond
			if call.Member == "slow" {
				lag = 200 * time.Millisecond
			}
			p.Answered(call.Number, call.Member, at+call.Cost+lag, true)
		}
	}
	p.Advance(time.Hour + 20*time.Second)
	is.Equal(p.Take(true, 20*time.Millisecond).Member, cyclamendyke.MemberName("near"))
}
