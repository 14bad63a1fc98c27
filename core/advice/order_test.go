package advice_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/core/advice"
)

func TestUrgentWantsComeFirstByRank(t *testing.T) {
	is := is.New(t)
	is.Equal(planner("a").Order([]advice.Want{{}, {Urgent: true}, {}, {Urgent: true}}), []int{1, 3, 0, 2})
}

func TestWantThatWaitedForLongIsNotPassedOverAgain(t *testing.T) {
	is := is.New(t)
	const now = time.Hour
	wants := []advice.Want{
		{Since: now}, {Since: now}, {Since: now},
		{Since: now - 10*time.Second, Served: 3}, {Since: now - 5*time.Second, Served: 1}, {Since: now - 4*time.Second, Served: 2, Again: true},
	}
	is.Equal(planner("a").Order(wants), []int{5, 0, 4, 1, 3, 2})
}

// TestEveryWantGetsACallInTime lets more wants arrive than can be served, each of higher rank than those
// before; none of the first ones may wait for ever.
func TestEveryWantGetsACallInTime(t *testing.T) {
	is := is.New(t)
	type waiting struct {
		name int
		want advice.Want
	}
	var queue []waiting
	served := map[int]bool{}
	p := planner("a")
	for step := range 60 {
		now := time.Hour + time.Duration(step)*500*time.Millisecond
		p.Advance(now)
		for k := range 2 {
			queue = append([]waiting{{2*step + k, advice.Want{Since: now, Served: 1}}}, queue...)
		}
		wants := make([]advice.Want, len(queue))
		for i, w := range queue {
			wants[i] = w.want
		}
		chosen := p.Order(wants)[0]
		served[queue[chosen].name] = true
		queue = append(queue[:chosen:chosen], queue[chosen+1:]...)
		call := p.Take(false, 400*time.Millisecond)
		p.Answered(call.Number, call.Member, now, true)
	}
	for name := range 5 {
		is.True(served[name])
	}
}
