// Package stepgraph describes how the steps of a workflow depend on each other. It is computed once for a workflow,
// in time and memory that are linear in its steps and dependencies, and shared by all its occurrences.
package stepgraph
