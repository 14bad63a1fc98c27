package scheduler

import (
	"fmt"
	"testing"

	"cyclamendyke"
)

// BenchmarkCancelAllWaiting cancels b.N waiting jobs; one operation is one cancellation.
func BenchmarkCancelAllWaiting(b *testing.B) {
	for _, tasks := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("%d-tasks", tasks), func(b *testing.B) {
			h := newHarness(Config{MaxJobs: 1 << 30, MaxQueue: 1 << 30, MaxFinishedJobs: 1 << 30})
			for name, row := range h.tables.Routes {
				row.MaxQueue = 0
				h.tables.Routes[name] = row
			}
			h.addVM("w1", "r1")
			h.takeOver()
			jobs := make([]cyclamendyke.Job, 0, b.N)
			for i := range b.N {
				job := parseJob([]string{fmt.Sprintf("z-%08d", i), "a", "batch", "cores=8", fmt.Sprintf("tasks=%d", tasks)})
				job.AcceptedAt = h.now
				jobs = append(jobs, job)
				h.s.Submit(h.now, job)
			}
			b.ResetTimer()
			for _, job := range jobs {
				h.s.Cancel(h.now, job.Request)
			}
		})
	}
}
