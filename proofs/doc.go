// Package proofs runs whole zones of daemons in one process against the
// platform's stand-ins, with faults between them, for its tests.
package proofs
