// Package logline reads the lines of processes' logs: logfmt or JSON, each with or without a leading
// time in seconds and process name.
package logline
