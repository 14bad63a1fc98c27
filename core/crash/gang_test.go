package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestGangIsBlamedForChance guards against a gang that is given up though no member of it crashes its targets, and against a deadly
// member that goes on.
func TestGangIsBlamedForChance(t *testing.T) {
	slow := func(members ...int) Record { return Record{LeastMillis: 900, MostMillis: 1000, Members: members} }
	longer := func(members ...int) Record { return Record{LeastMillis: 1500, MostMillis: 1600, Members: members} }
	quick := func(members ...int) Record {
		return Record{LeastMillis: 20, MostMillis: 50, Members: members, Alone: true}
	}
	explained := slow(1)
	explained.Explained = true
	whole := slow(0, 1)
	whole.Whole, whole.Alone = true, true
	inDoubt := Record{MostMillis: 20, Members: []int{1}, Uncertain: true}
	for _, test := range []struct {
		name      string
		crashes   []Record
		mayLack   bool
		suspected bool
		blamed    bool
	}{
		{name: "one", crashes: []Record{slow(1)}},
		{name: "one right after the start", crashes: []Record{quick(1)}, suspected: true},
		{name: "six members", crashes: []Record{slow(1), slow(2), slow(3), slow(4), slow(5), slow(6)}},
		{name: "one member twice", crashes: []Record{slow(1), slow(2), slow(1)}, suspected: true},
		{name: "one member four times in a row", crashes: []Record{slow(1), slow(1), slow(1), slow(1)}, suspected: true},
		{name: "and an earlier scheduler", crashes: []Record{slow(1), slow(1), slow(1), slow(1)}, mayLack: true, suspected: true, blamed: true},
		{name: "one member five times in a row", crashes: []Record{slow(1), slow(1), slow(1), slow(1), slow(1)}, suspected: true, blamed: true},
		{name: "right after the start", crashes: []Record{quick(1), quick(1), quick(1)}, suspected: true, blamed: true},
		{name: "right after the start, once later", crashes: []Record{quick(1), slow(1), quick(1)}, suspected: true},
		{name: "five of six", crashes: []Record{slow(1), slow(1), longer(2), slow(1), slow(1), slow(1)}, suspected: true},
		{name: "six of seven", crashes: []Record{slow(1), slow(1), longer(2), slow(1), slow(1), slow(1), slow(1)}, suspected: true, blamed: true},
		{name: "others before it could crash", crashes: []Record{slow(1), slow(1), quick(2), slow(1), quick(3), slow(1), slow(1)}, suspected: true, blamed: true},
		{name: "with others on its target", crashes: []Record{slow(1, 2), slow(1, 3), slow(1, 2), slow(1, 4), slow(0, 1)}, suspected: true, blamed: true},
		{name: "on any of two targets", crashes: []Record{slow(0, 1), slow(2, 3), slow(0, 1), slow(2, 3), slow(0, 1), slow(2, 3), slow(0, 1)}, suspected: true},
		{name: "all on one target", crashes: []Record{whole, whole, whole}, suspected: true, blamed: true},
		{name: "all on one target, but once", crashes: []Record{slow(0), whole, whole, whole}, suspected: true, blamed: true},
		{name: "explained by another task, but for two", crashes: []Record{explained, explained, slow(1), explained, slow(1)}, suspected: true, blamed: true},
		{name: "explained by another task", crashes: []Record{explained, explained, explained, explained, explained}},
		{name: "starts in doubt", crashes: []Record{inDoubt, inDoubt, inDoubt, inDoubt}, suspected: true},
		{name: "the last start, whether it began or not", crashes: []Record{inDoubt, inDoubt, inDoubt, inDoubt, inDoubt}, suspected: true, blamed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			history := History{MayLack: test.mayLack}
			for i, c := range test.crashes {
				c.Target, c.Run = cyclamendyke.TargetID(fmt.Sprint("i-", i)), int64(i+1)
				is.True(history.Add(c))
			}
			is.Equal(history.Suspected(), test.suspected)
			is.Equal(history.Blamed(), test.blamed)
		})
	}
}

// TestTargetsOfOneGangRunCrashTogether guards against a second target of a gang's run that is taken for the first.
func TestTargetsOfOneGangRunCrashTogether(t *testing.T) {
	is := is.New(t)
	history := History{}
	is.True(history.Add(Record{Target: "i-1", Run: 1, Members: []int{0}}))
	is.True(history.Add(Record{Target: "i-2", Run: 1, Members: []int{1}}))
	is.True(!history.Add(Record{Target: "i-1", StartedMillis: 5, Run: 1, Members: []int{0}})) // It was there still, in doubt.
	is.Equal(len(history.Crashes), 2)
}

// drawnGang is a gang of which each member runs on a target of its own; members crash by chance and one of them may be deadly.
type drawnGang struct {
	random  *rand.Rand
	width   int
	deadly  int           // Negative if none is.
	after   time.Duration // When a deadly member crashes its target.
	chance  time.Duration // The longest time until a target crashes by chance.
	history History
	run     int64
}

// crashOnce runs the gang until a target of it crashes, and reports whether the deadly member did it.
func (g *drawnGang) crashOnce() bool {
	g.run++
	member, age := g.random.IntN(g.width), time.Duration(g.random.Int64N(int64(g.chance)))
	isDeadly := g.deadly >= 0 && g.after <= age
	if isDeadly {
		member, age = g.deadly, g.after
	}
	least := max(0, age-time.Duration(g.random.Int64N(int64(500*time.Millisecond)))) // Targets answer every half second.
	g.history.Add(Record{
		Target: cyclamendyke.TargetID(fmt.Sprint("i-", g.run)), Run: g.run, Members: []int{member},
		LeastMillis: least.Milliseconds(), MostMillis: (age + 10*time.Millisecond).Milliseconds(),
	})
	return isDeadly
}

// TestLongRowsOfChanceCrashesBlameGang guards against a gang that is given up as its members crash one after the other: a wide one at
// all, a narrow one before one member was hit time and again.
func TestLongRowsOfChanceCrashesBlameGang(t *testing.T) {
	is := is.New(t)
	const gangs, row, wide = 500, 30, 12
	blamed := map[int]int{}
	for seed := range uint64(gangs) {
		random := rand.New(rand.NewPCG(seed, 64))
		chance := time.Second + time.Duration(random.Int64N(int64(8*time.Second)))
		g := drawnGang{random: random, width: 2 + random.IntN(2*wide), deadly: -1, chance: chance}
		for range row {
			g.crashOnce()
			if g.history.Blamed() {
				is.True(g.width < wide)
				is.True(len(g.history.Evidence()) >= maxMemberCrashes)
				blamed[g.width]++
				break
			}
		}
	}
	t.Log("given up, by width:", blamed)
}

// TestDeadlyMemberGoesOn guards against a deadly member that is started three times more after three crashes.
func TestDeadlyMemberGoesOn(t *testing.T) {
	is := is.New(t)
	const gangs, allowed = 500, 5
	for seed := range uint64(gangs) {
		random := rand.New(rand.NewPCG(seed, 65))
		g := drawnGang{
			random: random, width: 2 + random.IntN(40), deadly: 1, chance: 8 * time.Second,
			after: time.Duration(random.Int64N(int64(time.Second))),
		}
		count := 0
		for !g.history.Blamed() && count <= allowed {
			if g.crashOnce() {
				count++
			}
		}
		is.True(count <= allowed)
	}
}
