// Package bench measures the resource usage of each role and the quality of
// the placement policies, and extrapolates the usage to a larger fleet.
//
// It runs the production packages against the in-process stand-in platform
// and, for whole processes, the production daemon against the stand-in's server.
package bench
