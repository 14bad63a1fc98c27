package bench

import (
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/platform/kv"
)

const watchFor = 15 * time.Second

// measureWatch counts the store calls of processes that follow the configuration, idle.
func measureWatch(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{4, 8, 16, 32}
	counts := make([]kv.Counts, len(sizes))
	var runs sync.WaitGroup
	for i, n := range sizes {
		runs.Go(func() { counts[i] = followIdle(n) })
	}
	runs.Wait()
	reads := make([]Point, 0, len(sizes))
	for i, n := range sizes {
		reads = append(reads, Point{float64(n), float64(counts[i].Reads) / watchFor.Seconds()})
	}
	report.add("configuration watch calls", "calls/s", "process", reads)
	return report, nil
}

// followIdle returns the calls of n views over watchFor.
func followIdle(n int) kv.Counts {
	service := kv.New(kv.Config{})
	defer service.Close()
	store := service.As("view")
	views := make([]*config.View, 0, n)
	for range n {
		views = append(views, config.New(config.Config{Store: store, Prefix: cyclamendyke.WatchedPrefix}))
	}
	time.Sleep(watchFor)
	counts := service.TotalCounts()
	for _, view := range views {
		view.Close()
	}
	return counts
}
