// Package account keeps the lasting account of what ran and what was refused,
// in segments of the store that each belong to one process.
package account
