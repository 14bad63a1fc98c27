package daemon

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// stateLifetime is how long a peer's last heartbeat speaks for it.
const stateLifetime = 14 * time.Second

// directory holds the last state heard from each process, this one included.
type directory struct {
	mu     sync.Mutex
	states map[cyclamendyke.MemberName]receivedState
}

// receivedState is a state with the time at which it was heard.
type receivedState struct {
	state    cyclamendyke.MemberState
	received time.Time
}

func newDirectory() *directory {
	return &directory{states: make(map[cyclamendyke.MemberName]receivedState)}
}

// update takes in a state.
func (d *directory) update(state cyclamendyke.MemberState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[state.Member.Name] = receivedState{state: state, received: now}
}

// renew takes in that a state has not changed; it reports false if the state is not known here.
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

// remove drops the state of a process that is lost.
func (d *directory) remove(member cyclamendyke.MemberName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, member)
}

// fresh returns the states heard within stateLifetime, in order of name.
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

// scheduler returns the process that last claimed the zone's scheduler role with the highest epoch.
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

// schedulers returns the scheduler of each zone that has one, in order of zone.
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
