package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/tables"
	"cyclamendyke/standin/kv"
)

const (
	watchDuration = 15 * time.Second
	watchChanges  = 50
)

// measureWatch measures the store calls of processes that watch an unchanging configuration, and the
// propagation time of changes.
func measureWatch(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{4, 8, 16, 32}
	counts := make([]kv.Counts, len(sizes))
	var runs sync.WaitGroup
	for i, n := range sizes {
		runs.Go(func() { counts[i] = countIdleCalls(n) })
	}
	runs.Wait()
	reads := make([]Point, 0, len(sizes))
	for i, n := range sizes {
		reads = append(reads, Point{float64(n), float64(counts[i].Reads) / watchDuration.Seconds()})
	}
	report.addSeries("configuration watch calls", "calls/s", "process", reads)
	return report, measureTablePropagation(report)
}

// measureTablePropagation measures the time from a change of the tables until every process applies it.
func measureTablePropagation(report *Report) error {
	for _, n := range []int{6, 18, 48} {
		times := newHistogram()
		if err := changeTables(n, times); err != nil {
			return err
		}
		report.Distributions = append(report.Distributions, times.distribution(fmt.Sprintf("change of the tables until in force in %d processes", n)))
	}
	return nil
}

// changeTables writes the tables watchChanges times and records the time until each change has reached
// all n views.
func changeTables(n int, times histogram) error {
	service := kv.New(kv.Config{})
	defer service.Close()
	store := service.As("view")
	views := make([]*config.View, 0, n)
	for range n {
		views = append(views, config.New(config.Config{Store: store}))
	}
	defer func() {
		for _, view := range views {
			view.Close()
		}
	}()
	value, err := tables.Encode(tablesText(largeTeams))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchDuration)
	defer cancel()
	revision := cyclamendyke.Revision(0)
	for range watchChanges {
		start := time.Now()
		if revision, err = store.CompareAndSwap(ctx, cyclamendyke.TablesKey, value, revision, 0); err != nil {
			return err
		}
		for _, view := range views {
			if err := view.Wait(ctx, revision); err != nil {
				return err
			}
		}
		times.record(time.Since(start))
	}
	return nil
}

// countIdleCalls returns the store calls of n views during watchDuration without any change.
func countIdleCalls(n int) kv.Counts {
	service := kv.New(kv.Config{})
	defer service.Close()
	store := service.As("view")
	views := make([]*config.View, 0, n)
	for range n {
		views = append(views, config.New(config.Config{Store: store, Prefix: cyclamendyke.WatchedPrefix}))
	}
	time.Sleep(watchDuration)
	counts := service.TotalCounts()
	for _, view := range views {
		view.Close()
	}
	return counts
}
