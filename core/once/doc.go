// Package once keeps the store's records of requests that must not run twice,
// one for each idempotency key of a team, in a fixed number of slots.
package once
