// Package worker is an HTTP client of the platform's workers.
package worker
