// Package member implements the JSON-RPC 2.0 protocol between the members of a
// fleet's scheduler, with one message per line over persistent TCP connections.
//
// Every call has a deadline. A call that times out closes its connection, which
// may be half-open, and the next call opens a new one.
package member
