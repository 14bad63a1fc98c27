package scheduler

import (
	"fmt"
	"testing"

	"cyclamendyke"
)

// BenchmarkCancelAllWaiting cancels every job of a full zone; one operation is one cancellation.
func BenchmarkCancelAllWaiting(b *testing.B) {
	for _, tasks := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("%d-tasks", tasks), func(b *testing.B) {
			w := newHarness(Config{MaxJobs: 1 << 30, MaxQueue: 1 << 30, MaxFinishedJobs: 1 << 30})
			for name, row := range w.tables.Routes {
				row.MaxQueue = 0
				w.tables.Routes[name] = row
			}
			w.addVM("w1", "r1")
			w.takeOver()
			jobs := make([]cyclamendyke.Job, 0, b.N)
			for i := range b.N {
				job := parseJob([]string{fmt.Sprintf("z-%08d", i), "a", "batch", "cores=8", fmt.Sprintf("tasks=%d", tasks)})
				job.Accepted = w.now
				jobs = append(jobs, job)
				w.s.Submit(w.now, job)
			}
			b.ResetTimer()
			for _, job := range jobs {
				w.s.Cancel(w.now, job.Request)
			}
		})
	}
}
