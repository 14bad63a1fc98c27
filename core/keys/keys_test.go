package keys_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/cas"
	"cyclamendyke/core/keys"
	"cyclamendyke/standin/kv"
)

func newRegistry(store cyclamendyke.Store) *keys.Registry {
	return keys.New(keys.Config{Writer: cas.New(cas.Config{Store: store, MaxAttempts: 30})})
}

func loadRing(t *testing.T, store cyclamendyke.Store) *keys.Ring {
	t.Helper()
	entry, err := store.Get(t.Context(), cyclamendyke.KeysKey)
	if err != nil {
		t.Fatal(err)
	}
	ring, err := keys.NewRing(entry)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func TestEvaluateFreshness(t *testing.T) {
	data, err := os.ReadFile("testdata/freshness.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.TrimSpace(line), func(t *testing.T) {
			is := is.New(t)
			var revision cyclamendyke.Revision
			var ownAgeText, peerText, want string
			_, err := fmt.Sscan(line, &revision, &ownAgeText, &peerText, &want)
			is.NoErr(err)
			ownAge, err := time.ParseDuration(ownAgeText)
			is.NoErr(err)
			var peers []keys.PeerView
			for text := range strings.SplitSeq(strings.Trim(peerText, "-"), ",") {
				peer := keys.PeerView{}
				if age, revisionText, found := strings.Cut(text, "@"); found {
					peer.Reachable = true
					peer.StoreAge, err = time.ParseDuration(age)
					is.NoErr(err)
					is.NoErr(json.Unmarshal([]byte(revisionText), &peer.Revision))
				}
				if text != "" {
					peers = append(peers, peer)
				}
			}
			is.Equal(string(keys.EvaluateFreshness(revision, ownAge, peers)), want)
		})
	}
}

func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Config{}).As("a")
	first, err := newRegistry(store).Grant(t.Context(), "search")
	is.NoErr(err)
	second, err := newRegistry(store).Grant(t.Context(), "reader")
	is.NoErr(err)
	entry, err := store.Get(t.Context(), cyclamendyke.KeysKey)
	is.NoErr(err)
	_, _, found := strings.Cut(string(entry.Value), strings.SplitN(first.Key, "-", 3)[2])
	is.True(!found) // The secret is not in the store.

	swapped := "cyk-" + first.ID + "-" + strings.SplitN(second.Key, "-", 3)[2]
	cases := []struct {
		text string
		team cyclamendyke.TeamName
		kind cyclamendyke.Kind
	}{
		{text: first.Key, team: "search"},
		{text: second.Key, team: "reader"},
		{text: first.Key + "x", kind: cyclamendyke.KindNotFound},
		{text: swapped, kind: cyclamendyke.KindNotFound},
		{text: "cyk-0-x", kind: cyclamendyke.KindNotFound},
		{text: "", kind: cyclamendyke.KindInvalid},
		{text: "cyk", kind: cyclamendyke.KindInvalid},
		{text: "cyk--", kind: cyclamendyke.KindInvalid},
		{text: "xyz" + first.Key[3:], kind: cyclamendyke.KindInvalid},
		{text: "cyk-0-" + strings.Repeat("x", 200), kind: cyclamendyke.KindInvalid},
	}
	for _, c := range cases {
		team, err := loadRing(t, store).Authenticate(c.text)
		is.Equal(team, c.team)
		is.True(c.kind == "" && err == nil || errors.Is(err, c.kind))
	}
	revision, err := newRegistry(store).Withdraw(t.Context(), first.ID)
	is.NoErr(err)
	again, err := newRegistry(store).Withdraw(t.Context(), first.ID)
	is.NoErr(err)
	is.Equal(revision, again)
	_, err = newRegistry(store).Withdraw(t.Context(), "none")
	is.True(errors.Is(err, cyclamendyke.KindNotFound))
	_, err = loadRing(t, store).Authenticate(first.Key)
	is.True(errors.Is(err, cyclamendyke.KindNotFound))
	team, err := loadRing(t, store).Authenticate(second.Key)
	is.NoErr(err)
	is.Equal(team, cyclamendyke.TeamName("reader"))
}

// TestConcurrentGrantsAndWithdrawals grants and withdraws keys at once while answers
// are lost; each change is stored once.
func TestConcurrentGrantsAndWithdrawals(t *testing.T) {
	const operators = 8
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		old := make([]keys.Granted, operators)
		for i := range operators {
			granted, err := newRegistry(service.As("o")).Grant(t.Context(), "old")
			is.NoErr(err)
			old[i] = granted
		}
		service.SetFaults(kv.Faults{LoseAnswers: 6})
		granted := make([]keys.Granted, operators)
		errs := make([]error, 2*operators)
		var done sync.WaitGroup
		for i := range operators {
			operator := newRegistry(service.As(fmt.Sprint(i)))
			done.Go(func() { granted[i], errs[i] = operator.Grant(t.Context(), "new") })
			done.Go(func() { _, errs[operators+i] = operator.Withdraw(t.Context(), old[i].ID) })
		}
		done.Wait()
		is.NoErr(errors.Join(errs...))
		final := loadRing(t, service.As("o"))
		for i := range operators {
			_, err := final.Authenticate(old[i].Key)
			is.True(errors.Is(err, cyclamendyke.KindNotFound))
			team, err := final.Authenticate(granted[i].Key)
			is.NoErr(err)
			is.Equal(team, cyclamendyke.TeamName("new"))
		}
		records, _, err := newRegistry(service.As("o")).List(t.Context())
		is.NoErr(err)
		is.Equal(len(records), 2*operators)
	})
}

func TestGrantWithStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		service.SetFaults(kv.Faults{Down: true})
		_, err := newRegistry(service.As("o")).Grant(t.Context(), "search")
		is.True(errors.Is(err, cyclamendyke.KindUnavailable))
		service.SetFaults(kv.Faults{LoseAnswers: kv.LoseAllAnswers, Delay: 0})
		granted, err := newRegistry(service.As("o")).Grant(t.Context(), "search")
		is.NoErr(err) // The registry reads the list back to see that the key was written.
		service.SetFaults(kv.Faults{})
		_, err = loadRing(t, service.As("o")).Authenticate(granted.Key)
		is.NoErr(err)
	})
}

// TestPrune withdraws more keys than the list keeps, and then lets the remaining records expire.
func TestPrune(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	records := make([]cyclamendyke.KeyRecord, 0, keys.MaxWithdrawn+6)
	for i := range keys.MaxWithdrawn + 5 {
		records = append(records, cyclamendyke.KeyRecord{ID: fmt.Sprintf("%05d", i), WithdrawnAt: start.Add(time.Duration(i) * time.Second)})
	}
	records = append(records, cyclamendyke.KeyRecord{ID: "active", GrantedAt: start})
	value, err := keys.Encode(records)
	is.NoErr(err)
	store := kv.New(kv.Config{}).As("o")
	_, err = store.CompareAndSwap(t.Context(), cyclamendyke.KeysKey, value, 0, 0)
	is.NoErr(err)
	for _, step := range []struct {
		after time.Duration
		left  int
	}{
		{after: time.Hour, left: keys.MaxWithdrawn + 2},
		{after: keys.WithdrawnRetention + 10*time.Second, left: keys.MaxWithdrawn - 6 + 3},
		{after: 2 * keys.WithdrawnRetention, left: 4},
	} {
		operator := keys.New(keys.Config{
			Writer: cas.New(cas.Config{Store: store}),
			Now:    func() time.Time { return start.Add(step.after) },
		})
		_, err := operator.Grant(t.Context(), "search")
		is.NoErr(err)
		records, _, err := operator.List(t.Context())
		is.NoErr(err)
		is.Equal(len(records), step.left)
	}
}

// TestFullListTakesWithdrawals fills the list until it refuses grants; keys must still be withdrawn, and make room.
func TestFullListTakesWithdrawals(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	record := cyclamendyke.KeyRecord{Team: "search", Hash: strings.Repeat("0", 64), GrantedAt: start}
	records := []cyclamendyke.KeyRecord{}
	for size := 0; size < keys.MaxEncodedBytes-200; {
		record.ID = fmt.Sprintf("%016d", len(records))
		data, err := json.Marshal(record)
		is.NoErr(err)
		size += len(data) + 1
		records = append(records, record)
	}
	value, err := keys.Encode(records)
	is.NoErr(err)
	store := kv.New(kv.Config{}).As("o")
	_, err = store.CompareAndSwap(t.Context(), cyclamendyke.KeysKey, value, 0, 0)
	is.NoErr(err)
	now := start
	operator := keys.New(keys.Config{Writer: cas.New(cas.Config{Store: store}), Now: func() time.Time { return now }})
	for _, record := range records[:5] {
		_, err := operator.Withdraw(t.Context(), record.ID)
		is.NoErr(err)
	}
	_, err = operator.Grant(t.Context(), "search")
	is.True(errors.Is(err, cyclamendyke.KindTooLarge))
	now = now.Add(keys.WithdrawnRetention)
	_, err = operator.Grant(t.Context(), "search")
	is.NoErr(err)

	for i := range keys.MaxWithdrawn {
		records[i].WithdrawnAt = time.Now().UTC().Round(0)
	}
	value, err = keys.Encode(records)
	is.NoErr(err)
	is.True(len(value) < kv.MaxValueBytes) // As many withdrawals as the list keeps fit into the store.
}
