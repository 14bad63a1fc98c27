package member

import (
	"time"

	"cyclamendyke"
)

// FinalListRequest asks for the final list of the scheduler of the epoch right before Epoch, whose term ends
// with that if it has not ended yet.
type FinalListRequest struct {
	Epoch uint64                  `json:"epoch"` // Of the scheduler that asks.
	From  cyclamendyke.MemberName `json:"from"`
}

// FinalList is the list of runs that a scheduler left at the end of its term.
type FinalList struct {
	Value []byte        `json:"value"`
	Age   time.Duration `json:"age-ns"` // Time since it was taken.
}
