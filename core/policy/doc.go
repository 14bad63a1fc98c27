// Package policy implements the placement policies for the three kinds of job
// and the index of workers that they search.
package policy
