package timeline_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/timeline"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// process is one member with its own wall clock.
type process struct {
	wall      time.Time
	clock     *timeline.Clock
	ring      *timeline.Ring
	lastEvent int // Sequence number of its latest event.
}

func newProcess(name string, wall time.Time, size int) *process {
	p := &process{wall: wall}
	p.clock = timeline.NewClock(timeline.ClockConfig{Now: func() time.Time { return p.wall }})
	p.ring = timeline.NewRing(timeline.RingConfig{Clock: p.clock, Member: cyclamendyke.MemberName(name), Size: size})
	return p
}

// TestMergePreservesCausalOrder lets processes with wrong wall clocks exchange
// messages; every event must come after all events that its process had observed.
func TestMergePreservesCausalOrder(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		processes := make([]*process, 0, 4)
		for i := range 4 {
			skew := time.Duration(random.IntN(20)-10) * time.Second
			processes = append(processes, newProcess(fmt.Sprint(i), start.Add(skew), 0))
		}
		observed := make([][4]int, 4) // observed[i][j] is the latest event of j that i has observed.
		causalPast := map[string][4]int{}
		for range 2000 {
			receiver := random.IntN(4)
			p := processes[receiver]
			p.wall = p.wall.Add(time.Duration(random.IntN(100)-20) * time.Millisecond) // The clock may step back.
			if sender := random.IntN(4); random.IntN(2) == 0 && sender != receiver {
				is.True(p.clock.Observe(processes[sender].clock.Now()))
				for j := range observed[receiver] {
					observed[receiver][j] = max(observed[receiver][j], observed[sender][j])
				}
			}
			p.lastEvent++
			observed[receiver][receiver] = p.lastEvent
			event := p.ring.Add(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventPlaced, Task: p.lastEvent})
			causalPast[fmt.Sprint(event.Member, event.Task)] = observed[receiver]
		}
		lists := make([][]cyclamendyke.TimelineEvent, 0, 5)
		for _, p := range processes {
			lists = append(lists, p.ring.Events(cyclamendyke.TimelineFilter{}))
		}
		merged := timeline.Merge(lists...)
		is.Equal(len(merged), 2000)
		var lastMerged [4]int
		for _, event := range merged {
			for j, required := range causalPast[fmt.Sprint(event.Member, event.Task)] {
				if fmt.Sprint(j) != string(event.Member) {
					is.True(lastMerged[j] >= required)
				}
			}
			lastMerged[event.Member[0]-'0'] = event.Task
		}
		slices.Reverse(lists)
		is.Equal(timeline.Merge(append(lists, lists[0])...), merged)
	}
}

func TestObserveRejectsReadingTooFarAhead(t *testing.T) {
	is := is.New(t)
	p := newProcess("a", start, 0)
	is.True(!p.clock.Observe(cyclamendyke.Timestamp{Wall: start.Add(timeline.DefaultMaxAhead + 1)}))
	is.Equal(p.clock.Now().Wall, start)
	is.True(p.clock.Observe(cyclamendyke.Timestamp{Wall: start.Add(timeline.DefaultMaxAhead), Counter: 7}))
	is.Equal(p.clock.Now(), cyclamendyke.Timestamp{Wall: start.Add(timeline.DefaultMaxAhead), Counter: 9})
}

// TestRingOverwritesAndFilters adds more events than the ring holds from several
// goroutines and reads them by filter.
func TestRingOverwritesAndFilters(t *testing.T) {
	is := is.New(t)
	p := newProcess("a", start, 64)
	var done sync.WaitGroup
	for i := range 4 {
		done.Go(func() {
			for range 50 {
				p.ring.Add(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventStarted, Team: cyclamendyke.TeamName(fmt.Sprint(i))})
			}
		})
	}
	done.Wait()
	all := p.ring.Events(cyclamendyke.TimelineFilter{})
	is.Equal(len(all), 64)
	is.True(slices.IsSortedFunc(all, func(a, b cyclamendyke.TimelineEvent) int { return timeline.Compare(a.At, b.At) }))
	is.Equal(all[63].At.Counter, uint32(199)) // The first reading has counter zero.
	p.ring.Add(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventStopped, Request: "z-1", Worker: "w", Team: "t"})
	for _, filter := range []cyclamendyke.TimelineFilter{{Request: "z-1"}, {Worker: "w"}, {Team: "t"}, {Kind: cyclamendyke.EventStopped}} {
		is.Equal(len(p.ring.Events(filter)), 1)
	}
	is.Equal(len(p.ring.Events(cyclamendyke.TimelineFilter{Team: "t", Worker: "v"})), 0)
}
