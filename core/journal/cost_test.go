package journal_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/journal"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// fullSize runs TestCost with the full number of jobs instead of a tenth of it.
var fullSize = flag.Bool("full", false, "measure the cost at full size")

// TestCost limits the store writes that the journal of one of six zones causes.
// With -v it logs the measured figures.
func TestCost(t *testing.T) {
	cases := []struct {
		name      string
		jobs      int
		interval  time.Duration // Between two jobs, each of which writes three records one second apart.
		maxWrites float64       // Per second.
	}{
		{name: "3,100 jobs a day", jobs: 517, interval: 24 * time.Hour / 517, maxWrites: 0.03},
		{name: "44 jobs a second", jobs: 60 * 7, interval: time.Second / 7, maxWrites: 30},
		{name: "440 jobs a second", jobs: 20 * 73, interval: time.Second / 73, maxWrites: 30},
	}
	for _, c := range cases {
		if !*fullSize {
			c.jobs /= 10
		}
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				epoch := cyclamendyke.Epoch{Term: 1, Owner: "a"}
				writer, _, err := journal.New(journal.Config{Store: service.As("a"), Zone: zone}).Open(t.Context(), epoch)
				is.NoErr(err)
				service.SetFaults(kv.Faults{Delay: standin.Duration(3 * time.Millisecond)})
				start := time.Now()
				var totalWait, maxWait time.Duration
				for i := range c.jobs {
					accepted := newRecord(fmt.Sprint("z1-", i), 10, 200)
					sent := time.Now()
					writer.Persist(accepted, func(cyclamendyke.PersistResult) {
						totalWait += time.Since(sent)
						maxWait = max(maxWait, time.Since(sent))
					})
					time.AfterFunc(time.Second, func() {
						accepted.Started = true
						writer.Persist(accepted, nil)
					})
					time.AfterFunc(2*time.Second, func() {
						accepted.Outcome = cyclamendyke.Outcome{Verdict: cyclamendyke.VerdictRan, Request: accepted.Job.Request}
						for task := range 10 {
							id := cyclamendyke.TaskID{Request: accepted.Job.Request, Index: task}
							accepted.Outcome.Results = append(accepted.Outcome.Results, cyclamendyke.TaskResult{Task: id, Worker: "worker-000", Started: start, Finished: start})
						}
						writer.Persist(accepted, nil)
					})
					time.Sleep(c.interval)
				}
				elapsed := time.Since(start)
				time.Sleep(time.Minute)
				stats, counts := writer.Stats(), service.TotalCounts()
				jobs := float64(c.jobs)
				t.Logf("%.2f writes and %.0f bytes per job, %.4f writes and %.0f bytes per second, %.1f records per commit, mean wait %v, longest %v",
					float64(counts.Writes)/jobs, float64(counts.BytesIn)/jobs,
					float64(counts.Writes)/elapsed.Seconds(), float64(counts.BytesIn)/elapsed.Seconds(),
					float64(stats.Records)/float64(stats.Commits), totalWait/time.Duration(c.jobs), maxWait)
				is.Equal(stats.Pending, 0)
				is.Equal(stats.Refused+stats.Unknown, uint64(0))
				is.True(float64(counts.Writes)/elapsed.Seconds() < c.maxWrites)
				closeNow(writer)
			})
		})
	}
}
