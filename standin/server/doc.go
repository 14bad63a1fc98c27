// Package server serves the simulated store, workers and list of VMs over HTTP,
// with routes that set their faults.
package server
