// Package invariant counts violations of what must always hold, and stops a
// test at the first one.
package invariant
