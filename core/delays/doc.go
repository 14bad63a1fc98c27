// Package delays tells from the logs of all processes in which seconds callers waited too long, and for what.
package delays
