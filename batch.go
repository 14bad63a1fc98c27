package cyclamendyke

import "context"

// Put is one key to write.
type Put struct {
	Key      string
	Value    []byte
	Lease    LeaseID
	Expected Revision // Revision that the key must have; zero if it must not exist.
	Always   bool     // Written whatever the key's revision; Expected is ignored.
}

// Guard is a condition that a key has a given revision.
type Guard struct {
	Key      string
	Expected Revision
}

// Batch is a change of several keys that the store applies atomically.
type Batch struct {
	Puts    []Put
	Guards  []Guard  // Checked but not written.
	Deletes []Guard  // Checked and deleted.
	Removes []string // Deleted, if they exist, whatever their revision.
}

// MaxBatchEntries is the maximum of Batch.Entries.
const MaxBatchEntries = 32

// Entries counts the writes, deletions and conditions of the batch.
func (b *Batch) Entries() int {
	count := len(b.Guards) + 2*len(b.Deletes) + len(b.Removes)
	for _, put := range b.Puts {
		count++
		if !put.Always {
			count++
		}
	}
	return count
}

// BatchStore is a store that can change several keys atomically.
type BatchStore interface {
	Store
	// Commit applies the batch. With KindConflict it returns the current entries of the keys in the batch.
	Commit(ctx context.Context, batch Batch) (Revision, []Entry, error)
}
