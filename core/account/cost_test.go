package account_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/account"
	"cyclamendyke/standin/kv"
)

// fullSize runs TestCost with the full number of jobs instead of a tenth of it.
var fullSize = flag.Bool("full", false, "measure the cost at full size")

// TestCost limits the store writes that the accounting records of all processes of a cell cause.
// With -v it logs the measured figures.
func TestCost(t *testing.T) {
	const processes = 8
	cases := []struct {
		name      string
		jobs      int
		interval  time.Duration
		refused   bool
		maxWrites float64 // Per second.
	}{
		{name: "3,100 jobs a day", jobs: 3100, interval: 24 * time.Hour / 3100, maxWrites: 0.04},
		{name: "440 jobs a second", jobs: 20 * 440, interval: time.Second / 440, maxWrites: 10},
		{name: "2,200 refusals a second", jobs: 20 * 2200, interval: time.Second / 2200, refused: true, maxWrites: 10},
	}
	for _, c := range cases {
		if !*fullSize {
			c.jobs /= 10
		}
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				writers := make([]*account.Writer, processes)
				for i := range writers {
					name := fmt.Sprint("member-", i)
					writers[i] = account.New(account.Config{Store: service.As(name), Zone: zone, Member: cyclamendyke.MemberName(name), Started: time.Now()})
				}
				start := time.Now()
				for i := range c.jobs {
					record := cyclamendyke.AccountRecord{
						At:          time.Now(),
						Request:     cyclamendyke.RequestID(fmt.Sprintf("z1-%026d", i)),
						Team:        cyclamendyke.TeamName(fmt.Sprint("team-", i%59)),
						Route:       "search",
						Verdict:     cyclamendyke.VerdictRan,
						Tasks:       10,
						CoreSeconds: 1234.5,
						Workers:     []cyclamendyke.WorkerName{"worker-001", "worker-002", "worker-003"},
					}
					if c.refused {
						record.Verdict, record.Reason, record.Workers = cyclamendyke.VerdictNotRun, cyclamendyke.ReasonQueueFull, nil
					}
					writers[i%processes].Add(record)
					time.Sleep(c.interval)
				}
				elapsed := time.Since(start)
				aggregated := uint64(0)
				for _, w := range writers {
					w.Close(t.Context())
					aggregated += w.Stats().Aggregated
				}
				counts := service.TotalCounts()
				t.Logf("%.3f writes and %.0f bytes per job, %.3f writes and %.0f bytes per second, %d of %d aggregated",
					float64(counts.Writes)/float64(c.jobs), float64(counts.BytesIn)/float64(c.jobs),
					float64(counts.Writes)/elapsed.Seconds(), float64(counts.BytesIn)/elapsed.Seconds(), aggregated, c.jobs)
				is.True(float64(counts.Writes)/elapsed.Seconds() < c.maxWrites)
			})
		})
	}
}
