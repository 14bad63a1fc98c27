// Package daemon assembles the process that runs on every entry VM: it takes
// callers, stands by for or holds its zone's scheduler role, and follows the
// tables and keys.
//
// One control goroutine owns the scheduler and the role; everything that waits
// for another process runs on goroutines of its own and posts its result back.
package daemon
