// Package inifile parses INI text strictly. It adds line numbers to the output of the
// INI library, and reports lines, sections and keys that the library would ignore or
// merge.
package inifile
