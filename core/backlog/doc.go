// Package backlog bounds the memory that accepted work takes in a scheduler, and in the next one when that loads it.
//
// The scheduler states how much its unfinished work takes. Members accept what a share of the rest has room for, and refuse
// the other at once, before it is stored: what is stored stays accepted.
package backlog
