package once_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/once"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// fullSize runs TestCost with the full number of jobs instead of a tenth of it.
var fullSize = flag.Bool("full", false, "measure the cost at full size")

// TestCost limits the store writes if every job of a cell has an idempotency key.
// With -v it logs the measured figures.
func TestCost(t *testing.T) {
	const processes = 8
	cases := []struct {
		name      string
		jobs      int
		interval  time.Duration
		maxWrites float64 // Per second.
	}{
		{name: "3,100 jobs a day", jobs: 3100, interval: 24 * time.Hour / 3100, maxWrites: 0.08},
		{name: "44 jobs a second", jobs: 30 * 44, interval: time.Second / 44, maxWrites: 180},
		{name: "440 jobs a second", jobs: 10 * 440, interval: time.Second / 440, maxWrites: 180},
	}
	for _, c := range cases {
		if !*fullSize {
			c.jobs /= 10
		}
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				service.SetFaults(kv.Faults{Delay: standin.Duration(3 * time.Millisecond)})
				registries := make([]*once.Registry, processes)
				for i := range registries {
					registries[i] = newRegistry(service.As(fmt.Sprint(i)))
				}
				start := time.Now()
				waits := make([]time.Duration, c.jobs)
				for i := range c.jobs {
					registry := registries[i%processes]
					go func() {
						key, request := fmt.Sprint("key-", i), cyclamendyke.RequestID(fmt.Sprintf("z1-%026d", i))
						sent := time.Now()
						_, err := registry.Reserve(t.Context(), team, key, request)
						waits[i] = time.Since(sent)
						is.NoErr(err)
						registry.Complete(team, key, newOutcome(request, cyclamendyke.VerdictRan))
					}()
					time.Sleep(c.interval)
				}
				for pending := 1; pending > 0; time.Sleep(time.Second) {
					pending = 0
					for _, r := range registries {
						pending += r.Pending()
					}
				}
				elapsed := time.Since(start)
				meanWait, maxWait := time.Duration(0), time.Duration(0)
				for _, wait := range waits {
					meanWait += wait / time.Duration(c.jobs)
					maxWait = max(maxWait, wait)
				}
				counts := service.TotalCounts()
				jobs := float64(c.jobs)
				t.Logf("%.2f writes, %.2f reads, %.0f bytes in and %.0f out per job, %.3f writes and %.0f bytes in per second, mean wait %v, longest %v",
					float64(counts.Writes)/jobs, float64(counts.Reads)/jobs, float64(counts.BytesIn)/jobs, float64(counts.BytesOut)/jobs,
					float64(counts.Writes)/elapsed.Seconds(), float64(counts.BytesIn)/elapsed.Seconds(), meanWait, maxWait)
				is.True(float64(counts.Writes)/elapsed.Seconds() < c.maxWrites)
				closeNow(registries...)
			})
		})
	}
}
