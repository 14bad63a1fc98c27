// Package lease bounds the leases on targets by what is in the store, so that every later scheduler knows when those
// on a target that does not answer are over, however many schedulers have followed each other.
//
// A scheduler stores a round with its election and then about once a second, and the list of the targets that do not
// answer whenever it changes.
// It grants no lease that ends later than LongestGrant after it took the last stored round, and none at all on a target
// that the stored list names or that the next one is going to. Members note when they first see a round or an entry
// of the list. From then on, by any member's clock, the leases that they allow last no longer than LongestGrant, or than
// the time in the entry, by a clock that runs at MinClockRate. An election changes neither.
package lease
