package config_test

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
	"cyclamendyke/core/config"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// TestLateEditReportedUnknown lets an edit take effect late and another one follow it;
// the first operator must not be told that the edit was never in effect.
func TestLateEditReportedUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		service.SetFaults(kv.Faults{LateWrites: 1, LateBy: standin.Duration(time.Millisecond)})
		time.AfterFunc(2*time.Millisecond, func() { put(t, service.As("b"), cyclamendyke.TablesKey, "other") })
		editor := config.NewEditor(cas.New(cas.Config{Store: service.As("a")}))
		_, err := editor.Edit(t.Context(), cyclamendyke.TablesText{Routes: "mine"}, 0)
		var failure *config.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Kind, cyclamendyke.KindUnknown)
		is.Equal(failure.Current, cyclamendyke.Revision(2))
		is.True(!errors.Is(err, cyclamendyke.KindConflict))
	})
}

// TestConcurrentEdits lets operators edit the same revision at once; one edit wins,
// and the others get the revision in the store.
func TestConcurrentEdits(t *testing.T) {
	const operators = 5
	for _, faults := range []kv.Faults{{}, {LoseAnswers: 1}, {LoseAnswers: operators}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			service := kv.New(kv.Config{})
			service.SetFaults(faults)
			revisions := make([]cyclamendyke.Revision, operators)
			errs := make([]error, operators)
			var done sync.WaitGroup
			for i := range operators {
				done.Go(func() {
					editor := config.NewEditor(cas.New(cas.Config{Store: service.As(fmt.Sprint(i))}))
					edit := cyclamendyke.TablesText{Routes: fmt.Sprint(i)}
					revisions[i], errs[i] = editor.Edit(t.Context(), edit, 0)
				})
			}
			done.Wait()
			entry, err := service.As("o").Get(t.Context(), cyclamendyke.TablesKey)
			is.NoErr(err)
			winners := 0
			for i, err := range errs {
				var failure *config.Error
				switch {
				case err == nil:
					winners++
					is.Equal(revisions[i], entry.Revision)
					is.Equal(string(entry.Value), fmt.Sprintf(`{"routes":"%d","pools":""}`, i))
				case errors.As(err, &failure):
					is.Equal(failure.Current, entry.Revision)
					is.True(failure.Kind == cyclamendyke.KindConflict || faults.LoseAnswers > 0 && failure.Kind == cyclamendyke.KindUnknown)
				}
			}
			is.Equal(winners, 1)
		})
	}
}
