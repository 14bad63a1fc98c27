// Package policy holds the placement policies of the three kinds of job and
// the index of workers that they search.
package policy
