// Package store reaches the platform's key-value service over HTTP.
package store
