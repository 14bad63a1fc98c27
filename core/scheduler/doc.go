// Package scheduler decides for one zone which waiting task starts where, and
// what is done about tasks and workers that fail.
//
// It is driven by one control goroutine, does no I/O and reads no clock.
package scheduler
