// Package crash decides from the crashes of targets under a task whether the task is suspected and whether it is to
// blame.
package crash
