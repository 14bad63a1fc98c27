// Package cas writes keys of the store by compare-and-swap and settles lost
// answers by reading back before it writes again.
package cas
