package journal_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/journal"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

const zone = "z1"

// newRecord returns a record of a job; the tests use the number of tasks as the record's version.
func newRecord(request string, tasks int, payload int) cyclamendyke.JournalRecord {
	return cyclamendyke.JournalRecord{Job: cyclamendyke.Job{
		Request: cyclamendyke.RequestID(request),
		Tasks:   tasks,
		Payload: strings.Repeat("x", payload),
	}}
}

// openJournal opens the journal for a term and returns the writer and the loaded versions by request.
func openJournal(t *testing.T, store cyclamendyke.Store, term uint64, owner string) (*journal.Writer, map[cyclamendyke.RequestID]int, error) {
	t.Helper()
	epoch := cyclamendyke.Epoch{Term: term, Owner: cyclamendyke.MemberName(owner)}
	writer, records, err := journal.New(journal.Config{Store: store, Zone: zone, CompactionThreshold: 3}).Open(t.Context(), epoch)
	versions := map[cyclamendyke.RequestID]int{}
	for _, record := range records {
		versions[record.Job.Request] = record.Job.Tasks
	}
	return writer, versions, err
}

// closeNow closes the writer without waiting for queued records.
func closeNow(writer *journal.Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	writer.Close(ctx)
}

// persist writes one record and returns its result.
func persist(writer *journal.Writer, record cyclamendyke.JournalRecord) cyclamendyke.PersistResult {
	result := make(chan cyclamendyke.PersistResult, 1)
	writer.Persist(record, func(r cyclamendyke.PersistResult) { result <- r })
	return <-result
}

func TestPersistUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults kv.Faults
		result cyclamendyke.PersistResult
		kept   bool // Whether the next epoch loads the record.
	}{
		{name: "no faults", result: cyclamendyke.PersistKept, kept: true},
		{name: "slow", faults: kv.Faults{Delay: standin.Duration(500 * time.Millisecond)}, result: cyclamendyke.PersistKept, kept: true},
		{name: "answer lost", faults: kv.Faults{LoseAnswers: 1}, result: cyclamendyke.PersistKept, kept: true},
		{name: "late and answer lost", faults: kv.Faults{LateWrites: 1, LateBy: standin.Duration(time.Second)}, result: cyclamendyke.PersistKept, kept: true},
		{name: "down", faults: kv.Faults{Down: true}, result: cyclamendyke.PersistRefused},
		{name: "silent", faults: kv.Faults{Silent: true}, result: cyclamendyke.PersistUnknown},
		{name: "late past commit timeout", faults: kv.Faults{LateWrites: 100, LateBy: standin.Duration(10 * time.Second)}, result: cyclamendyke.PersistUnknown, kept: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := kv.New(kv.Config{})
				writer, _, err := openJournal(t, service.As("a"), 1, "a")
				is.NoErr(err)
				service.SetFaults(c.faults)
				is.Equal(persist(writer, newRecord("z1-1", 1, 0)), c.result)
				time.Sleep(20 * time.Second)
				service.SetFaults(kv.Faults{})
				next, versions, err := openJournal(t, service.As("b"), 2, "b")
				is.NoErr(err)
				_, found := versions["z1-1"]
				is.Equal(found, c.kept)
				is.Equal(persist(writer, newRecord("z1-2", 1, 0)), cyclamendyke.PersistRefused)
				<-writer.Fenced()
				closeNow(writer)
				closeNow(next)
			})
		})
	}
}

// TestUpdatesRetriedAfterOutage checks that records without a callback are kept
// during a store outage and the latest is written after it.
func TestUpdatesRetriedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		writer, _, err := openJournal(t, service.As("a"), 1, "a")
		is.NoErr(err)
		service.SetFaults(kv.Faults{Down: true})
		for version := range 100 {
			writer.Persist(newRecord("z1-1", version, 0), nil)
			time.Sleep(time.Second)
		}
		is.Equal(writer.Stats().Pending, 1)
		service.SetFaults(kv.Faults{})
		time.Sleep(5 * time.Second)
		is.Equal(writer.Stats().Pending, 0)
		next, versions, err := openJournal(t, service.As("b"), 2, "b")
		is.NoErr(err)
		is.Equal(versions["z1-1"], 99)
		closeNow(writer)
		closeNow(next)
	})
}

func TestOpenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		writer, _, err := openJournal(t, service.As("a"), 5, "a")
		is.NoErr(err)
		_, _, err = openJournal(t, service.As("b"), 4, "b")
		is.True(errors.Is(err, cyclamendyke.KindFenced))
		is.Equal(persist(writer, newRecord("z1-1", 1, 0)), cyclamendyke.PersistKept)
		closeNow(writer)
		service.SetFaults(kv.Faults{Down: true})
		_, _, err = openJournal(t, service.As("b"), 6, "b")
		is.True(errors.Is(err, cyclamendyke.KindUnavailable))
	})
}

// TestFinishedJobsExpire checks that finished jobs are dropped beyond MaxFinished and after the retention.
func TestFinishedJobsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := kv.New(kv.Config{})
		writer, _, err := openJournal(t, service.As("a"), 1, "a")
		is.NoErr(err)
		is.Equal(persist(writer, newRecord("z1-live", 1, 0)), cyclamendyke.PersistKept)
		for i := range journal.DefaultMaxFinished + 100 {
			finished := newRecord(fmt.Sprintf("z1-%d", i), 1, 0)
			finished.Outcome.Verdict = cyclamendyke.VerdictRan
			writer.Persist(finished, nil)
		}
		time.Sleep(time.Minute)
		next, versions, err := openJournal(t, service.As("b"), 2, "b")
		is.NoErr(err)
		is.Equal(len(versions), journal.DefaultMaxFinished+1)
		closeNow(next)
		time.Sleep(journal.DefaultRetention)
		next, versions, err = openJournal(t, service.As("b"), 3, "b")
		is.NoErr(err)
		is.Equal(versions, map[cyclamendyke.RequestID]int{"z1-live": 1})
		closeNow(writer)
		closeNow(next)
	})
}

// TestUnlistedSegmentIgnored restores a segment that compaction deleted, as a suspended
// writer may do after it was fenced. The next term must not load it and must delete it.
func TestUnlistedSegmentIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Config{}).As("a")
		writer, _, err := openJournal(t, store, 1, "a")
		is.NoErr(err)
		finished := newRecord("z1-finished", 1, 0)
		is.Equal(persist(writer, finished), cyclamendyke.PersistKept)
		is.Equal(persist(writer, newRecord("z1-0", 1, 30_000)), cyclamendyke.PersistKept)
		old, _, err := store.List(t.Context(), cyclamendyke.JournalPrefix+zone+"/1-a-")
		is.NoErr(err)
		is.Equal(len(old), 1) // The segment holds the record of z1-finished from before the job finished.
		finished.Outcome.Verdict = cyclamendyke.VerdictRan
		is.Equal(persist(writer, finished), cyclamendyke.PersistKept)
		time.Sleep(2 * journal.DefaultRetention)
		for i := range 8 {
			is.Equal(persist(writer, newRecord(fmt.Sprint("z1-", i), 2, 30_000)), cyclamendyke.PersistKept)
		}
		time.Sleep(time.Second)
		_, err = store.CompareAndSwap(t.Context(), old[0].Key, old[0].Value, 0, 0)
		is.NoErr(err)
		next, versions, err := openJournal(t, store, 2, "b")
		is.NoErr(err)
		is.Equal(len(versions), 8)
		is.Equal(versions["z1-finished"], 0)
		time.Sleep(time.Second)
		_, err = store.Get(t.Context(), old[0].Key)
		is.True(errors.Is(err, cyclamendyke.KindNotFound))
		closeNow(writer)
		closeNow(next)
	})
}
