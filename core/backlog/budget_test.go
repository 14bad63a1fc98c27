package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMembersAcceptMoreThanFits lets eight members accept work as fast as they can, while the scheduler states what it holds late.
func TestMembersAcceptMoreThanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, members = 80 << 20, 8
		budgets := make([]*Budget, 0, members)
		for range members {
			budgets = append(budgets, NewBudget(limit))
		}
		held, stated, now := int64(0), int64(0), time.Second
		delay := time.Duration(rapid.IntRange(0, 2900).Draw(t, "delay")) * time.Millisecond
		statedAt := now
		for range 300 {
			now += 50 * time.Millisecond
			bytes := int64(rapid.IntRange(1000, 6<<20).Draw(t, "bytes"))
			if _, ok := budgets[rapid.IntRange(0, members-1).Draw(t, "member")].Take(bytes, members, now); ok {
				held += bytes
			}
			if now >= statedAt+delay && IsWorthStating(held, stated, limit) {
				stated, statedAt = held, now
				for _, b := range budgets {
					b.See(stated, now)
				}
			}
			if held > limit+limit/statedPart {
				t.Fatalf("%d bytes held of %d", held, limit)
			}
		}
	})
}

// TestRetryAfterTellsWhenRoomIsFree fills the budget and lets work end.
func TestRetryAfterTellsWhenRoomIsFree(t *testing.T) {
	is := is.New(t)
	const limit = 80 << 20
	b := NewBudget(limit)
	is.True(b.Fits(limit / 8))
	is.True(!b.Fits(limit/8 + 1))
	b.See(limit, time.Minute)
	wait, ok := b.Take(1000, 8, time.Minute)
	is.True(!ok)
	is.Equal(wait, firstRetry)
	b.See(limit-(1<<20), time.Minute+time.Second) // A MiB a second.
	wait, ok = b.Take(2<<20, 8, time.Minute+time.Second)
	is.True(!ok)
	is.Equal(wait, 15*time.Second) // Eight members may ask for two MiB, and one MiB is free.
	_, ok = b.Take(100<<10, 8, time.Minute+time.Second)
	is.True(ok)
	b.See(0, 2*time.Minute)
	_, ok = b.Take(2<<20, 8, 2*time.Minute)
	is.True(ok)
	_, ok = NewBudget(0).Take(1<<40, 1, 0)
	is.True(ok)
}
