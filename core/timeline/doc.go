// Package timeline keeps the latest events of a process, timestamped by a hybrid
// logical clock, and merges the events of several processes in causal order.
package timeline
