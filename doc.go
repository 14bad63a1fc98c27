// Package cyclamendyke holds the domain types of the cluster scheduler and the
// interfaces behind which everything that varies is implemented.
//
// Implementations live below: core/… decides and does no I/O, io/… speaks to
// one peer or protocol each, daemon and client assemble them into programs.
package cyclamendyke
