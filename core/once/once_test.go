package once_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/once"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

const (
	team = "reader"
	key  = "bundle-7"
)

func newRegistry(store cyclamendyke.Store) *once.Registry {
	return once.New(once.Config{Store: store})
}

// closeNow closes the registries without waiting for queued operations.
func closeNow(registries ...*once.Registry) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, registry := range registries {
		registry.Close(ctx)
	}
}

func newOutcome(request cyclamendyke.RequestID, verdict cyclamendyke.Verdict) cyclamendyke.Outcome {
	return cyclamendyke.Outcome{Request: request, Verdict: verdict}
}

func TestReserveRepeatedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		a, b := newRegistry(service.As("a")), newRegistry(service.As("b"))
		reserve := func(r *once.Registry, team cyclamendyke.TeamName, request cyclamendyke.RequestID) once.Reservation {
			reservation, err := r.Reserve(t.Context(), team, key, request)
			is.NoErr(err)
			return reservation
		}
		is.Equal(reserve(a, team, "z-1"), once.Reservation{MayRun: true, Request: "z-1"})
		is.Equal(reserve(a, team, "z-1"), once.Reservation{MayRun: true, Request: "z-1"}) // The same request again.
		is.Equal(reserve(b, team, "z-2"), once.Reservation{Request: "z-1"})
		is.Equal(reserve(b, "bench", "z-3"), once.Reservation{MayRun: true, Request: "z-3"}) // Another team's key.

		a.Complete(team, key, newOutcome("z-2", cyclamendyke.VerdictRan)) // Ignored: this request does not hold the key.
		a.Complete(team, key, newOutcome("z-1", cyclamendyke.VerdictRan))
		a.Complete(team, key, newOutcome("z-1", cyclamendyke.VerdictMayHaveRun)) // Ignored: the first outcome is final.
		synctest.Wait()
		ran := once.Reservation{Request: "z-1", Outcome: newOutcome("z-1", cyclamendyke.VerdictRan)}
		is.Equal(reserve(b, team, "z-4"), ran)
		time.Sleep(once.CompletedRetention - time.Minute)
		is.Equal(reserve(b, team, "z-5"), ran)
		time.Sleep(2 * time.Minute)
		is.Equal(reserve(b, team, "z-6"), once.Reservation{MayRun: true, Request: "z-6"})
		is.Equal(reserve(b, "bench", "z-7"), once.Reservation{Request: "z-3"}) // A record without an outcome is kept longer.
		closeNow(a, b)
	})
}

// TestReleaseFreesKey checks that only the registry that created the record can release a key,
// and only while no other request has reserved the same key.
func TestReleaseFreesKey(t *testing.T) {
	cases := []struct {
		name       string
		repeated   bool
		releasedBy string // The registry that calls Release.
		freed      bool
	}{
		{name: "creator", releasedBy: "a", freed: true},
		{name: "other registry", releasedBy: "b"},
		{name: "creator after a repeated request", repeated: true, releasedBy: "a"},
		{name: "registry of the repeated request", repeated: true, releasedBy: "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				registries := map[string]*once.Registry{"a": newRegistry(service.As("a")), "b": newRegistry(service.As("b"))}
				_, err := registries["a"].Reserve(t.Context(), team, key, "z-1")
				is.NoErr(err)
				if c.repeated {
					repeat, err := registries["b"].Reserve(t.Context(), team, key, "z-2")
					is.NoErr(err)
					is.Equal(repeat.Request, cyclamendyke.RequestID("z-1"))
				}
				is.NoErr(registries[c.releasedBy].Release(t.Context(), team, key))
				reservation, err := registries["b"].Reserve(t.Context(), team, key, "z-3")
				is.NoErr(err)
				is.Equal(reservation.MayRun, c.freed)
				closeNow(registries["a"], registries["b"])
			})
		})
	}
}

func TestReserveUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults kv.Faults
		kind   cyclamendyke.Kind
	}{
		{name: "answer lost", faults: kv.Faults{LoseAnswers: 1}},
		{name: "late", faults: kv.Faults{LateWrites: 1, LateBy: standin.Duration(time.Second)}},
		{name: "slow", faults: kv.Faults{Delay: standin.Duration(time.Second)}},
		{name: "down", faults: kv.Faults{Down: true}, kind: cyclamendyke.KindUnavailable},
		{name: "silent", faults: kv.Faults{Silent: true}, kind: cyclamendyke.KindUnknown},
		{name: "late past the last attempt", faults: kv.Faults{LateWrites: 100, LateBy: standin.Duration(30 * time.Second)}, kind: cyclamendyke.KindUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				a, b := newRegistry(service.As("a")), newRegistry(service.As("b"))
				service.SetFaults(c.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
				defer cancel()
				reservation, err := a.Reserve(ctx, team, key, "z-1")
				is.True(c.kind == "" && err == nil || errors.Is(err, c.kind))
				is.Equal(reservation.MayRun, err == nil)
				service.SetFaults(kv.Faults{})
				time.Sleep(time.Minute)
				// After an error another request may take the key; after a success the first request holds it.
				reservation, err = b.Reserve(t.Context(), team, key, "z-2")
				is.NoErr(err)
				is.Equal(reservation.MayRun, c.kind != "")
				is.Equal(a.Pending(), 0)
				closeNow(a, b)
			})
		})
	}
}

// TestOutcomeRetriedAfterOutage checks that an outcome reported during a store outage
// is written once the store is back, and that Close waits for it.
func TestOutcomeRetriedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		a, b := newRegistry(service.As("a")), newRegistry(service.As("b"))
		_, err := a.Reserve(t.Context(), team, key, "z-1")
		is.NoErr(err)
		service.SetFaults(kv.Faults{Down: true})
		a.Complete(team, key, newOutcome("z-1", cyclamendyke.VerdictRan))
		time.Sleep(time.Hour)
		is.Equal(a.Pending(), 1)
		time.AfterFunc(time.Minute, func() { service.SetFaults(kv.Faults{}) })
		a.Close(t.Context())
		reservation, err := b.Reserve(t.Context(), team, key, "z-2")
		is.NoErr(err)
		is.Equal(reservation.Outcome.Verdict, cyclamendyke.VerdictRan)
		_, err = a.Reserve(t.Context(), team, "other", "z-3")
		is.True(errors.Is(err, cyclamendyke.KindLimited))
		closeNow(b)
	})
}

// TestAtMostOneRequestRuns reserves the same keys from several processes under store faults.
// A key may be reserved for a second request only if the first has not run.
func TestAtMostOneRequestRuns(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 3))
				service := kv.New(kv.Config{})
				registries := make([]*once.Registry, 0, 3)
				for i := range 3 {
					registries = append(registries, newRegistry(service.As(fmt.Sprint(i))))
				}
				runningRequest := map[string]cyclamendyke.RequestID{} // The request that is running or has run, by key.
				for step := range 400 {
					switch pick := random.IntN(20); pick {
					case 0:
						service.SetFaults(kv.Faults{LoseAnswers: random.IntN(5)})
					case 1:
						late := standin.Duration(random.IntN(20)) * standin.Duration(time.Second)
						service.SetFaults(kv.Faults{LateWrites: 1 + random.IntN(4), LateBy: late})
					case 2:
						service.SetFaults(kv.Faults{Down: random.IntN(2) == 0, Silent: random.IntN(2) == 0})
					case 3, 4:
						service.SetFaults(kv.Faults{})
					default:
						registry := registries[random.IntN(len(registries))]
						key := fmt.Sprint(random.IntN(20))
						request := cyclamendyke.RequestID(fmt.Sprint("z-", step))
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(10))*time.Second)
						reservation, err := registry.Reserve(ctx, team, key, request)
						cancel()
						if err != nil || !reservation.MayRun {
							is.True(err != nil || reservation.Request != request)
							continue
						}
						is.Equal(runningRequest[key], cyclamendyke.RequestID("")) // No other request is running or has run.
						runningRequest[key] = request
						switch random.IntN(3) {
						case 0:
							registry.Complete(team, key, newOutcome(request, cyclamendyke.VerdictRan))
						case 1:
							delete(runningRequest, key)
							registry.Complete(team, key, newOutcome(request, cyclamendyke.VerdictNotRun))
						}
					}
				}
				service.SetFaults(kv.Faults{})
				time.Sleep(time.Minute)
				for _, registry := range registries {
					is.Equal(registry.Pending(), 0)
				}
				closeNow(registries...)
			})
		})
	}
}
