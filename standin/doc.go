// Package standin and the packages below it simulate the platform's key-value
// service, workers and list of VMs for tests, benchmarks and demos.
//
// Packages kv, worker and vms implement the interfaces of the root package in
// process; package server serves them over HTTP to other processes.
package standin
