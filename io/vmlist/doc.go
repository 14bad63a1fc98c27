// Package vmlist is an HTTP client of the platform's VM list.
package vmlist
