// Package inifile reads INI text strictly: it adds line numbers to what the
// INI library reads, and faults for lines, sections and keys that the library
// would ignore or merge.
package inifile
