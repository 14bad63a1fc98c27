// Package paged holds long lists of which only few parts are in use at a time.
package paged
