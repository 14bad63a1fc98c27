package daemon

import (
	"cyclamendyke"
)

// Addressable is a Workers implementation that needs the worker addresses from the VM list.
type Addressable interface {
	cyclamendyke.Workers
	// SetVMs replaces the known addresses with those of the listed VMs.
	SetVMs(vms []cyclamendyke.VM)
}

// Platform holds the clients of the platform services that the daemon uses.
type Platform struct {
	Store   cyclamendyke.Store
	Workers cyclamendyke.Workers
	VMs     cyclamendyke.VMLister
}
