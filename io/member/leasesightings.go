package member

import "cyclamendyke/core/lease"

// LeaseSightingsRequest asks a member when it has seen what the store says of leases on targets.
type LeaseSightingsRequest struct{}

// LeaseSightings is when a member has seen what the store says of leases on targets.
type LeaseSightings struct {
	lease.Report
}
