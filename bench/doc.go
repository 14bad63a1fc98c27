// Package bench measures what each role costs and how the policies do, and
// works the figures out for a larger fleet from the slopes it finds.
//
// It drives the real packages over the stand-in's in-process types and, for
// whole processes, the real daemon over the stand-in's server.
package bench
