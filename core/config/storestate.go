package config

// StoreState is the state of the store as seen by this process.
type StoreState string

// States of the store as seen by one process.
const (
	StoreUnknown StoreState = "" // No call has completed yet.
	StoreReached StoreState = "reached"
	StoreLost    StoreState = "lost"   // At least two consecutive calls failed.
	StoreBehind  StoreState = "behind" // The store returned a lower revision than the view has, as after a restore from a backup.
)

// StoreState returns the state of the store as seen by this process.
func (v *View) StoreState() StoreState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeState
}

func (v *View) setStoreState(state StoreState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeState != state {
		v.storeState = state
		v.wakeNotifier()
	}
}
