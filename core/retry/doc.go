// Package retry waits between the attempts of a call.
package retry
