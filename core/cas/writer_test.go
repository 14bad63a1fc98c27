package cas_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/cas"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

func TestSwapUnderFaults(t *testing.T) {
	cases := []struct {
		name          string
		faults        kv.Faults
		faultDuration time.Duration // Zero if the faults last until the swap returns.
		initial       string        // Value before the swap.
		expected      cyclamendyke.Revision
		kind          cyclamendyke.Kind
		value         string // In the store after the swap and the end of the faults.
	}{
		{name: "free", value: "new"},
		{name: "conflict", initial: "old", kind: cyclamendyke.KindConflict, value: "old"},
		{name: "expected", initial: "old", expected: 1, value: "new"},
		{name: "answer lost after effect", faults: kv.Faults{LoseAnswers: 1}, value: "new"},
		{name: "conflict with its answer lost", faults: kv.Faults{LoseAnswers: 1}, initial: "old", kind: cyclamendyke.KindUnknown, value: "old"},
		{name: "down", faults: kv.Faults{Down: true}, kind: cyclamendyke.KindUnavailable},
		{name: "down for a while", faults: kv.Faults{Down: true}, faultDuration: time.Second, value: "new"},
		{name: "silent", faults: kv.Faults{Silent: true}, kind: cyclamendyke.KindUnknown},
		{name: "silent for a while", faults: kv.Faults{Silent: true}, faultDuration: time.Second, value: "new"},
		{name: "slow", faults: kv.Faults{Delay: standin.Duration(time.Second)}, value: "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				store := service.As("a")
				if c.initial != "" {
					_, err := store.CompareAndSwap(t.Context(), "key", []byte(c.initial), 0, 0)
					is.NoErr(err)
				}
				service.SetFaults(c.faults)
				if c.faultDuration > 0 {
					time.AfterFunc(c.faultDuration, func() { service.SetFaults(kv.Faults{}) })
				}
				_, err := cas.New(cas.Config{Store: store}).Swap(t.Context(), "key", []byte("new"), c.expected)
				is.Equal(cas.WriteKind(err), c.kind)
				service.SetFaults(kv.Faults{})
				entry, _ := store.Get(t.Context(), "key")
				is.Equal(string(entry.Value), c.value)
			})
		})
	}
}

// TestOverwrittenSwapReportsUnknown checks a swap that takes effect after its answer timed out and is then
// overwritten by another writer: as the key no longer shows whether it was written, the error is KindUnknown.
func TestOverwrittenSwapReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		service.SetFaults(kv.Faults{LateWrites: 1, LateBy: standin.Duration(time.Millisecond)})
		time.AfterFunc(2*time.Millisecond, func() {
			_, err := service.As("b").CompareAndSwap(t.Context(), "key", []byte("other"), 1, 0)
			is.NoErr(err)
		})
		_, err := cas.New(cas.Config{Store: service.As("a")}).Swap(t.Context(), "key", []byte("new"), 0)
		is.True(errors.Is(err, cyclamendyke.KindUnknown))
		is.True(!errors.Is(err, cyclamendyke.KindConflict))
	})
}

// TestConcurrentUpdates has writers append to one key while answers are lost, and checks that each update
// takes effect exactly once.
func TestConcurrentUpdates(t *testing.T) {
	const writers = 6
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		service.SetFaults(kv.Faults{LoseAnswers: 5})
		var done sync.WaitGroup
		errs := make([]error, writers)
		for i := range writers {
			done.Go(func() {
				mark := byte('a' + i)
				writer := cas.New(cas.Config{Store: service.As(fmt.Sprint(i)), MaxAttempts: 3 * writers})
				_, errs[i] = writer.Update(t.Context(), "key", func(entry cyclamendyke.Entry) ([]byte, bool, error) {
					for _, present := range entry.Value {
						if present == mark {
							return nil, false, nil
						}
					}
					return append(entry.Value, mark), true, nil
				})
			})
		}
		done.Wait()
		is.NoErr(errors.Join(errs...))
		entry, err := service.As("a").Get(t.Context(), "key")
		is.NoErr(err)
		is.Equal(len(entry.Value), writers)
	})
}
