package daemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// TestWriteLimitCoversDeletions sends writes of both kinds beyond the burst; deletions must use up the limit too.
func TestWriteLimitCoversDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		store := newCountedStore(service.As("a"), 1, newMetrics())
		ctx, cancel := context.WithCancel(t.Context())
		for range writeBurst + 5 {
			go func() { _ = store.Delete(ctx, "k", 1) }()
		}
		synctest.Wait()
		is.Equal(service.Counts("a").Writes, uint64(writeBurst))
		cancel()
		synctest.Wait()
		is.True(errors.Is(store.Delete(ctx, "k", 1), cyclamendyke.KindLimited))
	})
}
