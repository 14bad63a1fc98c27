// Package entry is an HTTP client of entry VMs.
package entry
