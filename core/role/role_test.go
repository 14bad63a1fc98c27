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

// TestNoTwoHoldersAct freezes, kills and cuts members, store and workers, and replaces workers.
func TestNoTwoHoldersAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		m := newModel(3, 3+random.IntN(4), func(_ string, limit int) int { return random.IntN(limit) })
		acted := 0
		if _, err := m.run(time.Minute, func() bool { return m.holder() != nil }); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			fault(m, random)
			if _, err := m.run(time.Duration(1+random.IntN(80))*100*time.Millisecond, func() bool { return false }); err != nil {
				t.Fatal(err)
			}
			if m.holder() != nil {
				acted++
			}
		}
		if acted == 0 {
			t.Fatal("nobody ever acted")
		}
	})
}

// fault changes one thing at random.
func fault(m *model, random *rand.Rand) {
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
		p.cutStore = !p.cutStore
	case 4, 5:
		m.store.down = !m.store.down
	case 6:
		p.cutWorkers[w.name] = !p.cutWorkers[w.name]
	case 7:
		for _, w := range m.workers {
			p.cutWorkers[w.name] = random.IntN(2) == 0
		}
	case 8:
		if len(m.vms()) > 2 {
			w.removed = true
		}
		m.addWorker()
	}
}

// calm returns a model whose messages are neither slow nor lost, with a holder.
func calm(t *testing.T, members, workers int) *model {
	is := is.New(t)
	m := newModel(members, workers, func(_ string, limit int) int { return limit / 2 })
	_, err := m.run(30*time.Second, func() bool { return m.holder() != nil })
	is.NoErr(err)
	is.True(m.holder() != nil)
	_, err = m.run(20*time.Second, func() bool { return false })
	is.NoErr(err)
	return m
}

// TestTakeover covers what follows the loss of a holder; the limits are those of the design, on the fake clock.
func TestTakeover(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(m *model)
		within time.Duration // Zero if nobody may act for a minute.
	}{
		{"killed, store up", kill, 8 * time.Second},
		{"frozen, store up", func(m *model) { m.holder().frozen = true }, 8 * time.Second},
		{"resigned, store up", resign, 4 * time.Second},
		{"killed, store away", func(m *model) { m.store.down = true; settle(m); kill(m) }, role.DefaultSessionTTL + 8*time.Second},
		{"killed as the store goes", func(m *model) { m.store.down = true; kill(m) }, role.DefaultSessionTTL + 8*time.Second},
		{"killed, store away, minority of workers cut", func(m *model) {
			m.store.down = true
			settle(m)
			cut(m, 2)
			kill(m)
		}, role.DefaultSessionTTL + 12*time.Second},
		{"killed, store away, majority of workers cut", func(m *model) {
			m.store.down = true
			settle(m)
			cut(m, 3)
			kill(m)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := calm(t, 3, 5)
			before := m.maxEpoch
			test.fault(m)
			took, err := m.run(time.Minute, func() bool { return m.holder() != nil && m.maxEpoch != before })
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

func kill(m *model) {
	p := m.holder()
	p.frozen = true // A killed process: it never thaws.
}

func resign(m *model) {
	p := m.holder()
	m.carryOut(p, p.role.Resign(m.now))
}

// settle gives the holder time to notice an outage.
func settle(m *model) {
	_, _ = m.run(30*time.Second, func() bool { return false })
}

// cut cuts everybody off from the first n workers.
func cut(m *model, n int) {
	for _, p := range m.members {
		for _, w := range m.workers[:n] {
			p.cutWorkers[w.name] = true
		}
	}
}

// TestHolderGoesOnWithoutTheStore keeps the same holder through an outage and records its epoch afterwards.
func TestHolderGoesOnWithoutTheStore(t *testing.T) {
	is := is.New(t)
	m := calm(t, 3, 5)
	before := m.maxEpoch
	for range 2 {
		m.store.down = true
		gaps := 0
		_, err := m.run(10*time.Minute, func() bool {
			if m.holder() == nil {
				gaps++
			}
			return false
		})
		is.NoErr(err)
		is.Equal(gaps, 0)
		is.Equal(m.maxEpoch, before)
		m.store.down = false
		_, err = m.run(time.Minute, func() bool { return false })
		is.NoErr(err)
		is.Equal(m.maxEpoch, before)
		is.Equal(m.store.holder.Epoch, before)
		claim, _ := m.holder().role.Claim(m.now)
		is.Equal(claim.Mode, cyclamendyke.SessionPreemptible)
	}
}

// TestEpochBegunWithoutTheStoreIsRecorded lets a successor take over in an outage that then ends.
func TestEpochBegunWithoutTheStoreIsRecorded(t *testing.T) {
	is := is.New(t)
	m := calm(t, 3, 5)
	first := m.store.epoch.Epoch
	m.store.down = true
	settle(m)
	kill(m)
	_, err := m.run(time.Minute, func() bool { return m.holder() != nil })
	is.NoErr(err)
	successor := m.maxEpoch
	is.True(successor.Compare(first) > 0)
	m.store.down = false
	_, err = m.run(time.Minute, func() bool { return false })
	is.NoErr(err)
	is.True(m.store.epoch.Epoch.Compare(successor) >= 0)
	is.True(m.holder() != nil)
}

// TestReplacedWorkersGetIntoTheRoster replaces every worker one after the other.
func TestReplacedWorkersGetIntoTheRoster(t *testing.T) {
	is := is.New(t)
	m := calm(t, 2, 4)
	for _, w := range slices.Clone(m.workers) {
		w.removed = true
		m.addWorker()
		_, err := m.run(2*time.Minute, func() bool { return false })
		is.NoErr(err)
		is.True(m.holder() != nil)
	}
}
