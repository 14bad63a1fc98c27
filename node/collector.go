package node

import "runtime/debug"

// The settings of the garbage collector.
const (
	memoryLimitPercent = 60  // Soft limit of the Go runtime, in percent of the VM's memory.
	gcPercent          = 200 // Heap growth that triggers a collection, in percent of the live heap.
)

// configureCollector sets up the garbage collector for a VM's memory. The live heap is small, so that it may
// grow several times over before a collection is worth its processor time.
func configureCollector(memoryBytes int64) {
	debug.SetMemoryLimit(memoryBytes * memoryLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}
