// Package e2e runs scripts against a cell of separate processes: the stand-in
// for the platform, the daemons and the client.
package e2e
