package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// maxEditLatency is the target time until an accepted edit is in effect in every
// process that reaches the store.
const maxEditLatency = 11 * time.Second

// TestEditReachesEveryView edits the tables between store outages, slow calls,
// compactions and process restarts, and checks how long each edit takes to reach every
// view.
func TestEditReachesEveryView(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 6))
				service := kv.New(kv.Config{})
				var stores [8]*replaceableStore
				var views [8]*config.View
				start := func(i int) {
					stores[i] = &replaceableStore{}
					stores[i].current.Store(service.As(fmt.Sprint(i)))
					views[i] = config.New(config.Config{Store: stores[i]})
				}
				for i := range views {
					start(i)
				}
				for range 100 {
					service.SetFaults(kv.Faults{Down: random.IntN(2) == 0, Silent: random.IntN(4) == 0})
					time.Sleep(time.Duration(random.IntN(60)) * time.Second)
					service.SetFaults(kv.Faults{Delay: standin.Duration(random.IntN(1000)) * standin.Duration(time.Millisecond)})
					if restarted := random.IntN(16); restarted < len(views) {
						views[restarted].Close()
						start(restarted)
					}
					stores[random.IntN(len(stores))].compacted.Store(true)
					revision := put(t, service.As("operator"), cyclamendyke.TablesKey, fmt.Sprintf(`{"routes":"%d"}`, random.Int()))
					edited := time.Now()
					for _, view := range views {
						is.NoErr(view.Wait(t.Context(), revision))
						_, current, err := view.Snapshot().Tables()
						is.NoErr(err)
						is.Equal(current, revision)
					}
					longest = max(longest, time.Since(edited))
				}
				for _, view := range views {
					view.Close()
				}
			})
		})
	}
	t.Logf("longest %v", longest)
	is.New(t).True(longest < maxEditLatency)
}
