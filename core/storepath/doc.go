// Package storepath decides which path a write to the store takes: this VM's own connection to the
// store, or another member that stores it on this VM's behalf.
//
// While the store is silent, slow or turns some VMs away, callers go on submitting urgent work, so no
// write should have to wait for a timeout to find that a path is broken. Signs of trouble seen by any call
// open a circuit breaker for all later writes, one answered call closes it, and writes whose attempt takes
// longer than usual are hedged through another path.
//
// The package does no I/O, reads no clock and takes no lock. Time is the time since boot.
package storepath
