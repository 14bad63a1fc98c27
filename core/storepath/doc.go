// Package storepath decides which path a write to the store takes: this VM's own connection to the
// store, or another member that stores it on this VM's behalf.
//
// It answers the load of a store that is silent, slow or turns some VMs away while callers go on
// submitting urgent work: a caller must not learn of a dead path by waiting for it. The first sign of
// trouble opens a circuit breaker for all later writes, one probe closes it, and writes whose attempt
// takes longer than usual are hedged through another path.
//
// The package does no I/O, reads no clock and takes no lock. Time is the time since boot.
package storepath
