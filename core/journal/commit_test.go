package journal

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// TestAppendCountsSegmentBeforeConflict appends to a full head whose revision has changed since it was read.
func TestAppendCountsSegmentBeforeConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Config{}).As("a")
		w, _, err := New(Config{Store: store, Zone: "z1"}).Open(t.Context(), cyclamendyke.Epoch{Term: 1, Owner: "a"})
		is.NoErr(err)
		defer w.Close(t.Context())
		synctest.Wait()
		data := []byte(`"` + strings.Repeat("x", maxHeadBytes) + `"`)
		_, err = w.append(t.Context(), []encodedRecord{{Request: "z1-1", Record: data}})
		is.NoErr(err)
		before := w.Stats()
		w.revision-- // As if a late write of this epoch had changed the head.
		size, err := w.append(t.Context(), []encodedRecord{{Request: "z1-2", Record: data}})
		is.NoErr(err)
		is.Equal(w.Stats().Segments-before.Segments, uint64(2)) // One before the conflict, one after it.
		is.Equal(uint64(size), w.Stats().Bytes-before.Bytes)
	})
}
