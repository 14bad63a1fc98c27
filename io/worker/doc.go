// Package worker reaches the platform's workers over HTTP.
package worker
