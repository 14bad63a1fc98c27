package role_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
	"cyclamendyke/core/role"
)

// TestAtMostOneMemberHasAuthority checks that no two members have authority at the same time while, at
// random, members freeze and restart, the store goes down, connections are cut and workers are replaced.
func TestAtMostOneMemberHasAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		m := newModel(3, 3+random.IntN(4), func(_ string, limit int) int { return random.IntN(limit) })
		roundsWithHolder := 0
		if _, err := m.runUntil(time.Minute, func() bool { return m.holder() != nil }); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			injectFault(m, random)
			if _, err := m.runUntil(time.Duration(1+random.IntN(80))*100*time.Millisecond, func() bool { return false }); err != nil {
				t.Fatal(err)
			}
			if m.holder() != nil {
				roundsWithHolder++
			}
		}
		if roundsWithHolder == 0 {
			t.Fatal("no member ever had authority")
		}
	})
}

// injectFault changes the state of one member, worker or the store at random.
func injectFault(m *model, random *rand.Rand) {
	p := m.members[random.IntN(len(m.members))]
	if holder := m.holder(); holder != nil && random.IntN(2) == 0 {
		p = holder
	}
	w := m.workers[random.IntN(len(m.workers))]
	switch random.IntN(9) {
	case 0:
		m.restart(p)
	case 1, 2:
		p.frozen = !p.frozen
	case 3:
		p.storeDisconnected = !p.storeDisconnected
	case 4, 5:
		m.store.down = !m.store.down
	case 6:
		p.disconnectedWorkers[w.name] = !p.disconnectedWorkers[w.name]
	case 7:
		for _, w := range m.workers {
			p.disconnectedWorkers[w.name] = random.IntN(2) == 0
		}
	case 8:
		if len(m.vms()) > 2 {
			w.removed = true
		}
		m.addWorker()
	}
}

// newStableModel returns a model that has a holder and whose messages are neither slow nor lost.
func newStableModel(t *testing.T, members, workers int) *model {
	is := is.New(t)
	m := newModel(members, workers, func(_ string, limit int) int { return limit / 2 })
	_, err := m.runUntil(30*time.Second, func() bool { return m.holder() != nil })
	is.NoErr(err)
	is.True(m.holder() != nil)
	_, err = m.runUntil(20*time.Second, func() bool { return false })
	is.NoErr(err)
	return m
}

// TestTakeover checks that another member takes over from a lost holder within the time that the design
// allows, on the fake clock.
func TestTakeover(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(m *model)
		within time.Duration // Zero if no member may get authority for a minute.
	}{
		{"killed, store up", killHolder, 8 * time.Second},
		{"frozen, store up", func(m *model) { m.holder().frozen = true }, 8 * time.Second},
		{"resigned, store up", resignHolder, 4 * time.Second},
		{"killed, store down", func(m *model) { m.store.down = true; waitForOutageDetection(m); killHolder(m) }, role.DefaultSessionTTL + 8*time.Second},
		{"killed when the store goes down", func(m *model) { m.store.down = true; killHolder(m) }, role.DefaultSessionTTL + 8*time.Second},
		{"killed, store down, minority of workers disconnected", func(m *model) {
			m.store.down = true
			waitForOutageDetection(m)
			disconnectWorkers(m, 2)
			killHolder(m)
		}, role.DefaultSessionTTL + 12*time.Second},
		{"killed, store down, majority of workers disconnected", func(m *model) {
			m.store.down = true
			waitForOutageDetection(m)
			disconnectWorkers(m, 3)
			killHolder(m)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newStableModel(t, 3, 5)
			before := m.maxEpoch
			test.fault(m)
			took, err := m.runUntil(time.Minute, func() bool { return m.holder() != nil && m.maxEpoch != before })
			is.NoErr(err)
			t.Logf("took %s", took)
			if test.within == 0 {
				is.Equal(m.holder(), nil)
				return
			}
			is.True(took <= test.within)
		})
	}
}

func killHolder(m *model) {
	p := m.holder()
	p.frozen = true // Stands for a killed process, as it is never resumed.
}

func resignHolder(m *model) {
	p := m.holder()
	m.execute(p, p.role.Resign(m.now))
}

// waitForOutageDetection gives all members time to detect an outage of the store.
func waitForOutageDetection(m *model) {
	_, _ = m.runUntil(30*time.Second, func() bool { return false })
}

// disconnectWorkers cuts all members off from the first n workers.
func disconnectWorkers(m *model, n int) {
	for _, p := range m.members {
		for _, w := range m.workers[:n] {
			p.disconnectedWorkers[w.name] = true
		}
	}
}

// TestHolderKeepsAuthorityWithoutTheStore checks that the holder keeps its authority and epoch through an
// outage of the store, and that its epoch is recorded afterwards.
func TestHolderKeepsAuthorityWithoutTheStore(t *testing.T) {
	is := is.New(t)
	m := newStableModel(t, 3, 5)
	before := m.maxEpoch
	for range 2 {
		m.store.down = true
		gaps := 0
		_, err := m.runUntil(10*time.Minute, func() bool {
			if m.holder() == nil {
				gaps++
			}
			return false
		})
		is.NoErr(err)
		is.Equal(gaps, 0)
		is.Equal(m.maxEpoch, before)
		m.store.down = false
		_, err = m.runUntil(time.Minute, func() bool { return false })
		is.NoErr(err)
		is.Equal(m.maxEpoch, before)
		is.Equal(m.store.holder.Epoch, before)
		claim, _ := m.holder().role.Claim(m.now)
		is.Equal(claim.Mode, cyclamendyke.SessionPreemptible)
	}
}

// TestEpochBegunWithoutTheStoreIsRecorded checks that the epoch of a successor that took over during an
// outage of the store is recorded when the outage ends.
func TestEpochBegunWithoutTheStoreIsRecorded(t *testing.T) {
	is := is.New(t)
	m := newStableModel(t, 3, 5)
	first := m.store.epoch.Epoch
	m.store.down = true
	waitForOutageDetection(m)
	killHolder(m)
	_, err := m.runUntil(time.Minute, func() bool { return m.holder() != nil })
	is.NoErr(err)
	successor := m.maxEpoch
	is.True(successor.Compare(first) > 0)
	m.store.down = false
	_, err = m.runUntil(time.Minute, func() bool { return false })
	is.NoErr(err)
	is.True(m.store.epoch.Epoch.Compare(successor) >= 0)
	is.True(m.holder() != nil)
}

// TestReplacedWorkersJoinTheRoster replaces every worker, one after the other, and checks that the zone
// keeps a holder.
func TestReplacedWorkersJoinTheRoster(t *testing.T) {
	is := is.New(t)
	m := newStableModel(t, 2, 4)
	for _, w := range slices.Clone(m.workers) {
		w.removed = true
		m.addWorker()
		_, err := m.runUntil(2*time.Minute, func() bool { return false })
		is.NoErr(err)
		is.True(m.holder() != nil)
	}
}
