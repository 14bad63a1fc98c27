// Package rpccode converts between error kinds and JSON-RPC error codes.
package rpccode
