// Package invariant counts violations of invariants that the program checks
// while it runs; in tests it can panic at the first one.
package invariant
