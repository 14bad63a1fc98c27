package daemon

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// stateLifetime is how long a process's last heartbeat stays valid.
const stateLifetime = 14 * time.Second

// directory holds the last state received from each process, including this one.
type directory struct {
	mu     sync.Mutex
	states map[cyclamendyke.MemberName]receivedState
}

// receivedState is a state and the time at which it was received.
type receivedState struct {
	state    cyclamendyke.MemberState
	received time.Time
}

func newDirectory() *directory {
	return &directory{states: make(map[cyclamendyke.MemberName]receivedState)}
}

// update stores a state received at now.
func (d *directory) update(state cyclamendyke.MemberState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[state.Member.Name] = receivedState{state: state, received: now}
}

// renew extends the validity of an unchanged state; it reports false if there is no valid state to
// extend.
func (d *directory) renew(member cyclamendyke.MemberName, storeAge time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.states[member]
	if !ok || now.Sub(entry.received) > stateLifetime {
		return false
	}
	entry.received = now
	entry.state.StoreAge = storeAge
	d.states[member] = entry
	return true
}

// remove deletes the state of a lost process.
func (d *directory) remove(member cyclamendyke.MemberName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, member)
}

// fresh returns the states received within stateLifetime, sorted by name.
func (d *directory) fresh(now time.Time) []cyclamendyke.MemberState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]cyclamendyke.MemberState, 0, len(d.states))
	for name, entry := range d.states {
		if now.Sub(entry.received) > stateLifetime {
			delete(d.states, name)
			continue
		}
		states = append(states, entry.state)
	}
	slices.SortFunc(states, func(a, b cyclamendyke.MemberState) int {
		return cmp.Compare(a.Member.Name, b.Member.Name)
	})
	return states
}

// scheduler returns the process that claims the zone's scheduler role with the highest epoch.
func (d *directory) scheduler(zone cyclamendyke.ZoneName, now time.Time) (cyclamendyke.MemberState, bool) {
	var best cyclamendyke.MemberState
	found := false
	for _, state := range d.fresh(now) {
		if state.Member.Zone != zone || !state.Scheduling {
			continue
		}
		if !found || state.Epoch.Compare(best.Epoch) > 0 {
			best = state
			found = true
		}
	}
	return best, found
}

// schedulers returns the scheduler of each zone that has one, sorted by zone.
func (d *directory) schedulers(now time.Time) []cyclamendyke.MemberState {
	byZone := make(map[cyclamendyke.ZoneName]cyclamendyke.MemberState)
	for _, state := range d.fresh(now) {
		if !state.Scheduling {
			continue
		}
		if other, ok := byZone[state.Member.Zone]; ok && other.Epoch.Compare(state.Epoch) >= 0 {
			continue
		}
		byZone[state.Member.Zone] = state
	}
	states := make([]cyclamendyke.MemberState, 0, len(byZone))
	for _, state := range byZone {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b cyclamendyke.MemberState) int {
		return cmp.Compare(a.Member.Zone, b.Member.Zone)
	})
	return states
}
