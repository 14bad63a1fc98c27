package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestSkewedDemand checks that six zones use most of a limit while one of them has most of the demand and
// another takes its place from time to time; it logs the use and the number of writes.
func TestSkewedDemand(t *testing.T) {
	names := []cyclamendyke.ZoneName{"z1", "z2", "z3", "z4", "z5", "z6"}
	for _, moveInterval := range []int{30, 120, 600} {
		t.Run(fmt.Sprintf("moves-each-%ds", moveInterval), func(t *testing.T) {
			is := is.New(t)
			const limit, seconds = 600, 1200
			s := newSkewedZones(names, limit)
			random := rand.New(rand.NewPCG(1, 1))
			used, wanted := int64(0), int64(0)
			for second := range seconds {
				s.runSecond(t, random, second/moveInterval%len(names))
				running, demand := s.totals()
				is.True(running <= limit)
				used += running
				wanted += min(demand, limit)
			}
			t.Logf("used %.1f%% of what the limit allowed; %.2f writes a second from six zones", 100*float64(used)/float64(wanted), float64(s.store.calls)/seconds)
			is.True(used*100 >= wanted*75)
		})
	}
}

// skewedZones simulates six zones, one of which, in turn, has nine tenths of the demand.
type skewedZones struct {
	store *fakeStore
	zones []*fakeZone
	alive []cyclamendyke.ZoneName
	now   time.Time
}

func newSkewedZones(names []cyclamendyke.ZoneName, limit int64) *skewedZones {
	s := &skewedZones{store: &fakeStore{}, alive: names, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for _, name := range names {
		z := &fakeZone{name: name}
		z.takeOver(map[cyclamendyke.TeamName]cyclamendyke.Resources{team: cores(limit)}, 1)
		s.zones = append(s.zones, z)
	}
	return s
}

// runSecond simulates one second: tasks end after 20 s on average, new work amounts to about 1.2 times
// the limit, and each zone may change its allotment once.
func (s *skewedZones) runSecond(t *testing.T, random *rand.Rand, busy int) {
	s.now = s.now.Add(time.Second)
	for i, z := range s.zones {
		for range z.reserved {
			if random.IntN(20) == 0 {
				z.reserved--
			}
		}
		arrivals := int64(random.IntN(2))
		if i == busy {
			arrivals = int64(24 + random.IntN(20))
		}
		z.waiting = min(z.waiting+arrivals, 700)
		z.read(t, s.store)
		if z.proposeAmong(s.now, s.alive) {
			z.commit(s.now)
			if z.committed != nil && s.store.swap(*z.committed) {
				z.planner.Written(s.store.revision)
			} else {
				z.planner.NotWritten()
			}
		}
		z.apply()
		for range 700 {
			z.startOne()
		}
	}
}

func (s *skewedZones) totals() (running, demand int64) {
	for _, z := range s.zones {
		running += z.reserved
		demand += z.reserved + z.waiting
	}
	return running, demand
}

// proposeAmong is like propose, but takes the list of zones that are alive.
func (z *fakeZone) proposeAmong(now time.Time, alive []cyclamendyke.ZoneName) bool {
	z.apply()
	proposal, ok := z.planner.Propose(now, alive)
	if ok {
		z.usable = proposal.Usable[team]
	}
	return ok
}
