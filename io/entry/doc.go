// Package entry sends calls to the HTTP interface of entry VMs.
package entry
