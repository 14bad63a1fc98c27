// Package peer implements the internal JSON-RPC 2.0 protocol between the daemons
// on entry VMs, with one message per line over persistent TCP connections.
//
// Each connection carries heartbeats, and each call has a deadline. A heartbeat
// that fails closes its connection, and a peer counts as lost only if a second
// heartbeat on a new connection fails as well.
package peer
