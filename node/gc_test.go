package node

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// TestCollectionsTakeSmallVMsProcessor allocates garbage beside a small live heap; at least as much as the
// live heap holds must be allocated between two collections, each of which costs a look at all of it.
func TestCollectionsTakeSmallVMsProcessor(t *testing.T) {
	is := is.New(t)
	const defaultPercent = 100 // The runtime's own, unless the environment names another.
	oldLimit, oldPercent, oldProcessors := debug.SetMemoryLimit(-1), debug.SetGCPercent(defaultPercent), runtime.GOMAXPROCS(1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(oldProcessors)
		debug.SetMemoryLimit(oldLimit)
		debug.SetGCPercent(oldPercent)
	})
	const (
		memoryBytes = 160 << 20
		liveBytes   = 8 << 20
		pieceBytes  = 1 << 10
		rounds      = 32 // Times the live heap's size that is allocated.
	)
	configureGC(memoryBytes)
	live := make([]byte, liveBytes)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds * liveBytes / pieceBytes {
		garbage = make([]byte, pieceBytes)
	}
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(live)
	is.True(after.NumGC-before.NumGC <= rounds)
}

// garbage keeps the last piece that was allocated, so that none is put on the stack.
var garbage []byte
