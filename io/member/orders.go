package member

import (
	"time"

	"cyclamendyke"
)

// Order is an order that a member sends to a target for the scheduler; one of Start, Stop and Renewal is
// set.
type Order struct {
	Number  uint64                   `json:"number"` // Assigned by the scheduler and repeated in the outcome.
	Target  cyclamendyke.TargetID    `json:"target"`
	Address string                   `json:"address"`        // The target's address.
	Zone    cyclamendyke.ZoneName    `json:"zone,omitempty"` // The target's zone, with a start.
	Start   *cyclamendyke.StartOrder `json:"start,omitempty"`
	// LeaseLeft is how long the lease in a start lasts once the order has arrived; zero if an earlier version has sent it.
	LeaseLeft time.Duration         `json:"lease-left-ns,omitempty"`
	Stop      *StopOrder            `json:"stop,omitempty"`
	Renewal   *cyclamendyke.Renewal `json:"renewal,omitempty"`
}

// StopOrder asks a target to end a run or to prevent its start.
type StopOrder struct {
	Task  cyclamendyke.TaskName `json:"task"`
	Run   int64                 `json:"run"`
	Fence uint64                `json:"fence"`
}

// Orders is a batch of orders for one member, which reports their outcomes to ReplyTo as they arrive.
type Orders struct {
	Epoch   uint64  `json:"epoch"`
	ReplyTo string  `json:"reply-to"`
	Orders  []Order `json:"orders"`
}

// Outcome is the result of an order.
type Outcome struct {
	Number  uint64                `json:"number"`
	Kind    cyclamendyke.Kind     `json:"kind,omitempty"` // Empty if the target answered.
	Listing *cyclamendyke.Listing `json:"listing,omitempty"`
	Clock   time.Duration         `json:"clock-ns,omitempty"` // The target's clock when it accepted a start; zero if unknown.
}

// Outcomes holds the outcomes of an epoch's orders that a member has not reported yet.
type Outcomes struct {
	Epoch    uint64    `json:"epoch"`
	Outcomes []Outcome `json:"outcomes"`
}
