package node

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/standin/kv"
)

// benchMemory is the memory of the VM in the benchmark.
const benchMemory = 284 << 20

// storeFullMemory stores workflows until they take all the memory that unfinished work may take.
func storeFullMemory(b *testing.B, store *kv.Service, steps int) int {
	count := 0
	for held := int64(0); held < backlog.Limit(benchMemory); count++ {
		w := &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(fmt.Sprintf("%016x", count)), Queue: "q", Team: cyclamendyke.OpenTeam, AcceptedAt: time.Now()}
		for range steps {
			w.Steps = append(w.Steps, cyclamendyke.Step{Count: 4, Need: cyclamendyke.Resources{Cores: 500, Memory: 256}, Estimate: time.Second, Label: "nowhere"})
		}
		value, err := encodeWorkflow(w)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := store.As("caller").CompareAndSwap(context.Background(), workKey(w.ID), value, 0, 0); err != nil {
			b.Fatal(err)
		}
		held += backlog.Footprint(w)
	}
	return count
}

// BenchmarkTakeoverOfFullMemory measures how long a new scheduler takes to read as much unfinished work as there may be, the most memory that the
// process has then, and what stays in use, beside what the stand-in of the store holds.
func BenchmarkTakeoverOfFullMemory(b *testing.B) {
	for _, steps := range []int{2, 200, 20_000} {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			for b.Loop() {
				benchmarkTakeover(b, steps)
			}
		})
	}
}

func benchmarkTakeover(b *testing.B, steps int) {
	c := newTestCluster(b)
	c.memoryBytes = benchMemory
	count := storeFullMemory(b, c.store, steps)
	configureGC(benchMemory)
	stored := heapBytes()
	most, stop := int64(0), make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				most = max(most, int64(stats.HeapInuse+stats.StackInuse+stats.GCSys))
			}
		}
	})
	began := time.Now()
	n := c.startNode("only")
	eventually(b, "the first term", func() bool { return epochOf(n) == 1 })
	for held := int64(0); held == 0; time.Sleep(5 * time.Millisecond) {
		loaded, err := query(context.Background(), n.term.Load(), func(answer func(int64)) { answer(n.term.Load().sched.HeldBytes()) })
		if err == nil {
			held = loaded
		}
	}
	took := time.Since(began)
	close(stop)
	sampler.Wait()
	b.ReportMetric(float64(count), "workflows")
	b.ReportMetric(took.Seconds(), "takeover-s")
	b.ReportMetric(float64(most-stored)/(1<<20), "most-MiB")
	b.ReportMetric(float64(heapBytes()-stored)/(1<<20), "held-MiB")
	n.Close()
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
