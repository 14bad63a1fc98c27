// Package journal keeps the jobs of one zone in the store: a head key that
// only the latest epoch can write, and sealed segments that the head lists.
package journal
