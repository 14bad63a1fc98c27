// Package proofs simulates a cell for its tests: it runs the daemons of several zones in one
// process against stand-ins of the platform and injects faults into the calls between them.
package proofs
