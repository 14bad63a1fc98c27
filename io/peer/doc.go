// Package peer carries the inner protocol between the system's own processes:
// JSON-RPC 2.0, one message a line, over long-lived TCP connections.
//
// Every connection has heartbeats and every call a deadline. A connection that
// stops answering is closed, and a peer counts as lost only after a fresh
// connection has failed as well.
package peer
