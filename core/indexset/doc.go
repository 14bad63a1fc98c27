// Package indexset holds sets of small integers, such as the tasks of a step, in far less memory than a map would take.
package indexset
