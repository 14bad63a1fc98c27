// Package daemon implements the process that runs on every entry VM: it serves callers, takes
// part in the election of its zone's scheduler, and applies the tables and API keys from the store.
//
// One control goroutine owns the scheduler and the role. Every call that waits for another process
// runs on its own goroutine and posts its result to the control goroutine.
package daemon
