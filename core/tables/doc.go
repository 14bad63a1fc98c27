// Package tables parses and validates the tables of routes and pools, which are INI
// texts; routes refer to pools by name.
package tables
