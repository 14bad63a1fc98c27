package bench

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used, garbage collection included.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // It cannot fail with these arguments.
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuUsedBy returns the processor time that this process uses while work runs.
func cpuUsedBy(work func()) time.Duration {
	before := cpuTime()
	work()
	return cpuTime() - before
}

// retainedHeap returns the heap bytes that the result of build retains.
func retainedHeap[T any](build func() T) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// loadAverage returns the machine's load over the last minute, or zero if it cannot be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// millis returns d in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
