// Package e2e tests a cell of separate processes with scripts: the stand-in for the platform, the
// daemons and the client.
package e2e
