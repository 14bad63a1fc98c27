// Package dispatch decides which target runs which task of which workflow.
//
// One Scheduler serves the whole fleet. It does no I/O, reads no clock and takes no lock: a single
// control goroutine passes it the time and every message from targets, store and members, and
// carries out the commands it returns. Time is the time since boot, which advances while the VM is
// suspended.
package dispatch
