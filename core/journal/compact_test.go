package journal

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// headRefusingStore refuses to write the journal's head while refusing is set.
type headRefusingStore struct {
	cyclamendyke.Store
	headKey  string
	refusing bool
}

// CompareAndSwap writes the key, or fails without an effect.
func (s *headRefusingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	if s.refusing && key == s.headKey {
		return 0, &cyclamendyke.Error{Op: "test.swap", Kind: cyclamendyke.KindUnavailable}
	}
	return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
}

// TestFailedCompactionLeavesNoSegments fails one compaction after its segments were written, and repeats it.
func TestFailedCompactionLeavesNoSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := Config{Zone: "z1", CompactionThreshold: 3}
		store := &headRefusingStore{Store: kv.New(kv.Config{}).As("a"), headKey: config.headKey()}
		config.Store = store
		w, _, err := New(config).Open(t.Context(), cyclamendyke.Epoch{Term: 1, Owner: "a"})
		is.NoErr(err)
		defer w.Close(t.Context())
		synctest.Wait()
		data := []byte(`"` + strings.Repeat("x", maxHeadBytes) + `"`)
		for i := range 4 {
			_, err := w.append(t.Context(), []encodedRecord{{Request: cyclamendyke.RequestID(fmt.Sprint("z1-", i)), Record: data}})
			is.NoErr(err)
		}
		is.Equal(len(w.head.Segments), 3)
		store.refusing = true
		w.compact(t.Context())
		is.Equal(len(w.head.Segments), 3)
		store.refusing = false
		w.compact(t.Context())
		is.Equal(len(w.head.Segments), 1)
		w.deleteObsoleteSegments(t.Context())
		entries, _, err := store.List(t.Context(), config.prefix())
		is.NoErr(err)
		is.Equal(len(entries), 2) // The head and its segment.
	})
}

// deleteCountingStore counts the deletions that follow each other without a write between them.
type deleteCountingStore struct {
	cyclamendyke.Store
	inRow, longestRow, total int
}

// CompareAndSwap ends the present row of deletions.
func (s *deleteCountingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	s.inRow = 0
	return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
}

// Delete counts a deletion.
func (s *deleteCountingStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	s.inRow++
	s.total++
	s.longestRow = max(s.longestRow, s.inRow)
	return s.Store.Delete(ctx, key, expected)
}

// TestDeletionsDoNotHoldUpCommits lets a compaction make many segments obsolete; commits must go on between their deletions.
func TestDeletionsDoNotHoldUpCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := Config{Zone: "z1", CompactionThreshold: 20}
		store := &deleteCountingStore{Store: kv.New(kv.Config{}).As("a")}
		config.Store = store
		w, _, err := New(config).Open(t.Context(), cyclamendyke.Epoch{Term: 1, Owner: "a"})
		is.NoErr(err)
		defer w.Close(t.Context())
		job := cyclamendyke.Job{Request: "z1-1", Payload: strings.Repeat("x", maxHeadBytes)}
		for range 100 {
			kept := make(chan cyclamendyke.PersistResult, 1)
			w.Persist(cyclamendyke.JournalRecord{Job: job}, func(result cyclamendyke.PersistResult) { kept <- result })
			is.Equal(<-kept, cyclamendyke.PersistKept)
		}
		synctest.Wait()
		is.True(store.total > 50)
		is.True(store.longestRow <= 4)
		entries, _, err := store.List(t.Context(), config.prefix())
		is.NoErr(err)
		is.True(len(entries) < 2*config.CompactionThreshold)
	})
}
