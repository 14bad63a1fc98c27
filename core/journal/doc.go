// Package journal is the log of a zone's jobs in the store: a head key that
// only the latest epoch can write, and immutable segments that the head lists.
package journal
