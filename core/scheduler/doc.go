// Package scheduler decides for one zone which waiting task starts on which
// worker, and how to handle failed tasks and workers.
//
// One control goroutine calls it. It does no I/O and reads no clock.
package scheduler
