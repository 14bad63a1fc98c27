// Package cyclamendyke defines the domain types of the cluster scheduler and
// the interfaces between its components.
//
// The packages below core make decisions and do no I/O. Each package below io
// implements one protocol. Packages daemon, node and client assemble them into
// programs.
package cyclamendyke
