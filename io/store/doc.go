// Package store is an HTTP client of the platform's key-value store.
package store
