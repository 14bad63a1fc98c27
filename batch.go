package cyclamendyke

import "context"

// Put is one key to write.
type Put struct {
	Key      string
	Value    []byte
	Lease    LeaseID
	Expected Revision // Revision that the key must have; zero if it must not exist.
}

// Guard is a condition that a key has a given revision.
type Guard struct {
	Key      string
	Expected Revision
}

// Batch is a change of several keys that the store applies atomically.
type Batch struct {
	Puts    []Put
	Guards  []Guard // Checked but not written.
	Deletes []Guard // Checked and deleted.
}

// MaxBatchPuts is the maximum number of keys that a batch with one guard may write.
const MaxBatchPuts = 15

// BatchStore is a store that can change several keys atomically.
type BatchStore interface {
	Store
	// Commit applies the batch. With KindConflict it returns the current entries of the keys in the batch.
	Commit(ctx context.Context, batch Batch) (Revision, []Entry, error)
}
