// Package account stores accounting records of jobs that ran and requests that
// were refused; each process writes its own segments in the store.
package account
