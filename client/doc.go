// Package client is the command line with which team members hand in work and
// operators edit tables and keys and see what happened.
package client
