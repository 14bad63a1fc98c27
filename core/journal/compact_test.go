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
		entries, _, err := store.List(t.Context(), config.prefix())
		is.NoErr(err)
		is.Equal(len(entries), 2) // The head and its segment.
	})
}
