// Package timeline keeps a process's latest events under a hybrid logical
// clock and merges those of several processes in causal order.
package timeline
