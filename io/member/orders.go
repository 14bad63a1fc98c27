package member

import "cyclamendyke"

// Order is an order to a target that another member gives in the scheduler's place; one of Start and Renewal is set.
type Order struct {
	Number  uint64                   `json:"number"` // The scheduler's own, which the outcome repeats.
	Target  cyclamendyke.TargetID    `json:"target"`
	Address string                   `json:"address"` // The target's.
	Start   *cyclamendyke.StartOrder `json:"start,omitempty"`
	Renewal *cyclamendyke.Renewal    `json:"renewal,omitempty"`
}

// Orders are handed to a member, which reports their outcomes to the scheduler's address as they come.
type Orders struct {
	Epoch   uint64  `json:"epoch"`
	ReplyTo string  `json:"reply-to"`
	Orders  []Order `json:"orders"`
}

// Outcome is what became of an order.
type Outcome struct {
	Number  uint64                `json:"number"`
	Kind    cyclamendyke.Kind     `json:"kind,omitempty"` // Empty if the target answered.
	Listing *cyclamendyke.Listing `json:"listing,omitempty"`
}

// Outcomes are those that a member has learned since it reported last.
type Outcomes struct {
	Epoch    uint64    `json:"epoch"`
	Outcomes []Outcome `json:"outcomes"`
}
