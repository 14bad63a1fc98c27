package daemon

import (
	"cyclamendyke"
)

// Addressable is a Workers that must be told the addresses in the list of VMs.
type Addressable interface {
	cyclamendyke.Workers
	// SetVMs replaces the addresses by those of the listed VMs.
	SetVMs(vms []cyclamendyke.VM)
}

// Platform is everything of the platform that the daemon reaches.
type Platform struct {
	Store   cyclamendyke.Store
	Workers cyclamendyke.Workers
	VMs     cyclamendyke.VMLister
}
