// Package jsonhttp calls the platform by JSON over HTTP with deadlines, fresh
// connections and counts.
package jsonhttp
