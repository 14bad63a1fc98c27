// Package cas writes keys of the store by compare-and-swap. When the answer to
// a write is lost, it reads the key before it writes again, to find out whether
// the write took effect.
package cas
