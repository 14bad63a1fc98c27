// Package progress holds the forms in which the progress of workflows is stored, for the next scheduler and for later versions.
package progress
