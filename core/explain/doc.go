// Package explain decides which records of processes' logs tell what happened to one workflow or
// task, puts them in order, and tells it in plain words.
package explain
