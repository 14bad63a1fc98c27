// Package tables reads and validates the table of routes and the table of
// pools, which are INI text joined by pool names.
package tables
