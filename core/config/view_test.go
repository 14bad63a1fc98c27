package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/keys"
	"cyclamendyke/standin/kv"
)

// replaceableStore is a store whose backend can be replaced, as by a restore from a backup.
type replaceableStore struct {
	cyclamendyke.Store // Nil, because a view calls only List and Watch.
	current            atomic.Pointer[kv.Store]
	compacted          atomic.Bool   // The next watch fails because its revision is no longer in the history.
	watchDelay         time.Duration // Delay of the answer of each watch.
}

func (r *replaceableStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	return r.current.Load().List(ctx, prefix)
}

func (r *replaceableStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	if r.compacted.Swap(false) {
		return nil, 0, &cyclamendyke.Error{Op: "store.watch", Kind: cyclamendyke.KindNotFound}
	}
	defer time.Sleep(r.watchDelay)
	return r.current.Load().Watch(ctx, prefix, after, hold)
}

func put(t *testing.T, store cyclamendyke.Store, key, value string) cyclamendyke.Revision {
	t.Helper()
	entry, _ := store.Get(t.Context(), key)
	revision, err := store.CompareAndSwap(t.Context(), key, []byte(value), entry.Revision, 0)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func valueOf(view *config.View, key string) string {
	entry, _ := view.Snapshot().Entry(key)
	return string(entry.Value)
}

func TestViewFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		store := service.As("operator")
		var values []string
		var states []config.StoreState
		view := config.New(config.Config{
			Store: service.As("daemon"),
			OnChange: func(s config.Snapshot) {
				entry, _ := s.Entry(cyclamendyke.KeysKey)
				values = append(values, string(entry.Value))
			},
			OnStore: func(s config.StoreState) { states = append(states, s) },
		})
		defer view.Close()

		put(t, store, cyclamendyke.KeysKey, "one")
		synctest.Wait()
		is.Equal(valueOf(view, cyclamendyke.KeysKey), "one")
		service.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Hour)
		is.Equal(valueOf(view, cyclamendyke.KeysKey), "one") // The value stays in effect while the store is down.
		is.Equal(view.StoreState(), config.StoreLost)
		service.SetFaults(kv.Faults{})
		put(t, store, cyclamendyke.KeysKey, "two")
		time.Sleep(config.DefaultRetryMax)
		synctest.Wait()
		is.Equal(valueOf(view, cyclamendyke.KeysKey), "two")
		is.NoErr(store.Delete(t.Context(), cyclamendyke.KeysKey, view.Snapshot().Revision))
		synctest.Wait()
		_, found := view.Snapshot().Entry(cyclamendyke.KeysKey)
		is.True(!found)
		is.Equal(values, []string{"one", "two", ""})
		is.Equal(states, []config.StoreState{config.StoreReached, config.StoreLost, config.StoreReached})
	})
}

// TestReachableStoreConfirmsView writes at random times and checks that a reachable
// store confirms the view before its keys count as stale.
func TestReachableStoreConfirmsView(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 0))
				service := kv.New(kv.Config{})
				view := config.New(config.Config{Store: service.As("daemon")})
				defer view.Close()
				synctest.Wait()
				oldest := time.Duration(0)
				for change := range 100 {
					for wait := random.IntN(60); wait > 0; wait-- {
						time.Sleep(200 * time.Millisecond)
						oldest = max(oldest, view.Age())
					}
					put(t, service.As("operator"), cyclamendyke.TablesKey, fmt.Sprint(change))
				}
				is.True(oldest < keys.MaxAge)
				reads := service.Counts("daemon").Reads
				is.True(reads < 800) // The run lasts about 600 s.
			})
		})
	}
}

// TestDelayedAnswerConfirmsSendTime delays a watch answer that holds a change; it must
// not confirm the view for any time after the call was sent.
func TestDelayedAnswerConfirmsSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		store := &replaceableStore{watchDelay: 4 * time.Second}
		store.current.Store(service.As("daemon"))
		view := config.New(config.Config{Store: store})
		defer view.Close()
		time.Sleep(time.Second)
		put(t, service.As("operator"), cyclamendyke.KeysKey, "one")
		synctest.Wait()
		answered := time.Now()
		put(t, service.As("operator"), cyclamendyke.KeysKey, "two")
		time.Sleep(5 * time.Second)
		is.Equal(valueOf(view, cyclamendyke.KeysKey), "one")
		is.True(!view.Confirmed().After(answered))
	})
}

// TestRevisionsNeverDecrease cuts the daemon off, offers it old copies and compacts
// its watch history; no revision may decrease.
func TestRevisionsNeverDecrease(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 1))
				service := kv.New(kv.Config{})
				operator := service.As("operator")
				store := &replaceableStore{}
				store.current.Store(service.As("daemon"))
				view := config.New(config.Config{Store: store})
				defer func() { view.Close() }()
				var copies []config.Copy
				var previous config.Copy
				for range 300 {
					switch random.IntN(8) {
					case 0, 1, 2:
						put(t, operator, cyclamendyke.WatchedPrefix+string(rune('a'+random.IntN(4))), fmt.Sprint(random.Int()))
					case 3:
						service.SetFaults(kv.Faults{Cut: []string{"daemon"}})
					case 4:
						service.SetFaults(kv.Faults{})
					case 5:
						copies = append(copies, view.Snapshot().Copy)
					case 6:
						if len(copies) > 0 {
							view.MergePeerCopy(copies[random.IntN(len(copies))])
						}
					case 7:
						store.compacted.Store(true)
					}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					current := view.Snapshot().Copy
					is.True(current.Revision >= previous.Revision)
					for _, before := range previous.Entries {
						after, found := current.Entry(before.Key)
						is.True(found && after.Revision >= before.Revision)
					}
					previous = current
				}
				service.SetFaults(kv.Faults{})
				time.Sleep(2*config.DefaultRetryMax + time.Second) // A compacted watch adds one retry pause.
				synctest.Wait()
				want, _, err := operator.List(t.Context(), cyclamendyke.WatchedPrefix)
				is.NoErr(err)
				is.Equal(view.Snapshot().Entries, want)
			})
		})
	}
}

// TestViewKeepsNewerThanRestoredStore replaces the store by an older state; the view
// keeps its entries until the store is newer.
func TestViewKeepsNewerThanRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		original, restored := kv.New(kv.Config{}), kv.New(kv.Config{})
		put(t, original.As("o"), cyclamendyke.TablesKey, "old")
		put(t, restored.As("o"), cyclamendyke.TablesKey, "restored")
		put(t, original.As("o"), cyclamendyke.TablesKey, "new")
		store := &replaceableStore{}
		store.current.Store(original.As("daemon"))
		view := config.New(config.Config{Store: store})
		defer view.Close()
		synctest.Wait()
		confirmed := view.Confirmed()
		store.current.Store(restored.As("daemon"))
		time.Sleep(time.Minute)
		is.Equal(valueOf(view, cyclamendyke.TablesKey), "new")
		is.Equal(view.StoreState(), config.StoreBehind)
		is.True(view.Confirmed().Sub(confirmed) <= config.DefaultHold) // Only the watch in flight may confirm the view.
		put(t, restored.As("o"), cyclamendyke.TablesKey, "newer")
		put(t, restored.As("o"), cyclamendyke.TablesKey, "newest")
		time.Sleep(config.DefaultRetryMax)
		is.Equal(valueOf(view, cyclamendyke.TablesKey), "newest")
		is.Equal(view.StoreState(), config.StoreReached)
	})
}

// TestPeerCopyWhileStoreUnreachable starts a process that cannot reach the store; a
// peer's copy takes effect without confirming the view.
func TestPeerCopyWhileStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		put(t, service.As("o"), cyclamendyke.TablesKey, "tables")
		peer := config.New(config.Config{Store: service.As("peer")})
		defer peer.Close()
		synctest.Wait()
		service.SetFaults(kv.Faults{Cut: []string{"new"}})
		view := config.New(config.Config{Store: service.As("new")})
		defer view.Close()
		time.Sleep(time.Minute)
		is.True(view.MergePeerCopy(peer.Snapshot().Copy))
		is.Equal(valueOf(view, cyclamendyke.TablesKey), "tables")
		is.Equal(view.Age(), config.NeverConfirmed)
		is.True(!view.MergePeerCopy(config.Copy{Revision: 1}))
		service.SetFaults(kv.Faults{})
		is.NoErr(view.Wait(t.Context(), put(t, service.As("o"), cyclamendyke.TablesKey, "changed")))
		is.Equal(valueOf(view, cyclamendyke.TablesKey), "changed")
		is.True(view.Age() < time.Minute)
	})
}
