// Package rpccode carries kinds of errors over JSON-RPC as error codes.
package rpccode
