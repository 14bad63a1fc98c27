package node

import "runtime/debug"

// memoryLimitPercent is the soft limit of the Go runtime, in percent of the VM's memory.
const memoryLimitPercent = 60

// configureGC sets up the garbage collector for a VM's memory. Far below the limit it keeps the
// runtime's own pace, since more frequent collections of a small heap cost a small VM its processor.
func configureGC(memoryBytes int64) {
	debug.SetMemoryLimit(memoryBytes * memoryLimitPercent / 100)
}
