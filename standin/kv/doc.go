// Package kv simulates the platform's key-value service in process, with
// compare-and-swap, leases, prefix watches, rate limits and fault injection.
package kv
