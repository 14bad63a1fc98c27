// Package once ensures that a request with an idempotency key runs at most once.
// It stores one record per team and key, distributed by hash over a fixed number of slots.
package once
