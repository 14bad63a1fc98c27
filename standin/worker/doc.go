// Package worker simulates the platform's workers in process, with sessions,
// fences, task leases, delayed usage reports and fault injection.
package worker
