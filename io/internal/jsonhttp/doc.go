// Package jsonhttp sends JSON requests to the platform over HTTP and counts calls, connections and
// bytes.
package jsonhttp
