package member

import (
	"time"

	"cyclamendyke"
)

// OperatorsRequest asks a member for its copy of what operators have written into the store.
type OperatorsRequest struct {
	Since cyclamendyke.Revision `json:"since"` // As of which the asking member's copy is complete.
}

// OperatorsCopy is a member's copy of everything that operators have written.
type OperatorsCopy struct {
	Revision cyclamendyke.Revision `json:"revision"`          // Of the store, as of which the copy is complete.
	Age      time.Duration         `json:"age-ns"`            // Time since it was known to be complete.
	Entries  []cyclamendyke.Entry  `json:"entries,omitempty"` // All of them, or none if nothing has changed since.
}
