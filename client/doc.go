// Package client implements the command line. Team members submit work with it; operators edit
// tables and keys and inspect the cell.
package client
