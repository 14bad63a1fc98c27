package vms

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// Config configures a list.
type Config struct {
	VMs []cyclamendyke.VM
	Lag time.Duration // Delay before a change appears in the list.
}

// List is a simulated list of VMs; it is safe for concurrent use.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	faults  Faults
	visible map[cyclamendyke.WorkerName]cyclamendyke.VM
	pending []change // Changes that are not visible yet, oldest first.
}

// change replaces a VM's entry in the list, or removes the entry if vm.State is empty.
type change struct {
	visibleAt time.Time
	vm        cyclamendyke.VM
}

// Faults are the faults that the list simulates until the next call of SetFaults.
type Faults struct {
	Down bool     `json:"down"` // Every call fails.
	Cut  []string `json:"cut"`  // Names of the callers whose calls fail.
}

// New returns a list in which the configured VMs are visible from the start.
func New(config Config) *List {
	list := &List{lag: config.Lag, visible: map[cyclamendyke.WorkerName]cyclamendyke.VM{}}
	for _, vm := range config.VMs {
		list.visible[vm.Name] = vm
	}
	return list
}

// As returns a lister that makes its calls in the name of caller.
func (l *List) As(caller string) *Lister {
	return &Lister{list: l, caller: caller}
}

// SetFaults replaces the current faults.
func (l *List) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Put adds or updates a VM; the change becomes visible after the list's lag.
func (l *List) Put(vm cyclamendyke.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{visibleAt: time.Now().Add(l.lag), vm: vm})
}

// SetState changes the state of a visible VM and reports whether there is such a VM; the change
// becomes visible after the list's lag.
func (l *List) SetState(worker cyclamendyke.WorkerName, state cyclamendyke.VMState) bool {
	l.mu.Lock()
	vm, ok := l.visible[worker]
	l.mu.Unlock()
	if !ok {
		return false
	}
	vm.State = state
	l.Put(vm)
	return true
}

// Remove removes a VM; it disappears from the list after the list's lag.
func (l *List) Remove(worker cyclamendyke.WorkerName) {
	l.Put(cyclamendyke.VM{Name: worker})
}

// zoneVMs applies the changes that have become visible and returns the VMs of one zone, sorted by name.
func (l *List) zoneVMs(zone cyclamendyke.ZoneName) []cyclamendyke.VM {
	now := time.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.apply(l.pending[0].vm)
		l.pending = l.pending[1:]
	}
	vms := slices.Collect(maps.Values(l.visible))
	vms = slices.DeleteFunc(vms, func(vm cyclamendyke.VM) bool { return vm.Zone != zone })
	slices.SortFunc(vms, func(a, b cyclamendyke.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

func (l *List) apply(vm cyclamendyke.VM) {
	if vm.State == "" {
		delete(l.visible, vm.Name)
		return
	}
	l.visible[vm.Name] = vm
}

// Lister reads the list as one caller, to which the faults may apply.
type Lister struct {
	list   *List
	caller string
}

var _ cyclamendyke.VMLister = (*Lister)(nil)

// ListVMs returns the VMs of one zone sorted by name, or KindUnavailable.
func (l *Lister) ListVMs(_ context.Context, zone cyclamendyke.ZoneName) ([]cyclamendyke.VM, error) {
	l.list.mu.Lock()
	defer l.list.mu.Unlock()
	if l.list.faults.Down || slices.Contains(l.list.faults.Cut, l.caller) {
		return nil, &cyclamendyke.Error{Op: "vms.list", Kind: cyclamendyke.KindUnavailable}
	}
	return l.list.zoneVMs(zone), nil
}
