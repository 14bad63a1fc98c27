package bench

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/account"
	"cyclamendyke/core/journal"
	"cyclamendyke/core/once"
	"cyclamendyke/standin/kv"
)

const (
	recordsDuration       = 5 * time.Second
	recordsSaturatingRate = 320              // Journaled jobs per second, more than the journal can write one at a time.
	recordsCloseTimeout   = 10 * time.Second // Limit for the last writes.

	accountFlushInterval = 200 * time.Millisecond
	accountFlushes       = 40
)

// recordCost is the number of store writes and the bytes that a batch of records took.
type recordCost struct {
	writes, bytes float64
}

// measureRecords measures the store calls and bytes of journal, account and at-most-once records.
func measureRecords(uint64) (*Report, error) {
	report := &Report{}
	rates := []int{1, 2, 4, 8, 16}
	costs := make([]recordCost, len(rates))
	errs := make([]error, len(rates))
	var runs sync.WaitGroup
	for i, rate := range rates {
		runs.Go(func() { costs[i], errs[i] = measureJournal(rate) })
	}
	runs.Wait()
	var writes, bytes []Point
	for i, rate := range rates {
		if errs[i] != nil {
			return nil, errs[i]
		}
		writes = append(writes, Point{float64(rate), costs[i].writes / recordsDuration.Seconds()})
		bytes = append(bytes, Point{float64(rate), costs[i].bytes / recordsDuration.Seconds()})
	}
	report.addSeries("journal writes", "writes/s", "kept job a second", writes)
	report.addSeries("journal bytes", "bytes/s", "kept job a second", bytes)
	saturated, err := measureJournal(recordsSaturatingRate)
	if err != nil {
		return nil, err
	}
	report.addValue("journal writes at 320 kept jobs a second", saturated.writes/recordsDuration.Seconds(), "writes/s")
	report.addValue("journal bytes at 320 kept jobs a second", saturated.bytes/recordsDuration.Seconds(), "bytes/s")
	measureAccount(report)
	return report, measureAtMostOnce(report)
}

// measureJournal journals and finishes rate jobs per second for recordsDuration and returns their cost.
func measureJournal(rate int) (recordCost, error) {
	service := kv.New(kv.Config{})
	defer service.Close()
	ctx := context.Background()
	jobJournal := journal.New(journal.Config{Store: service.As("journal"), Zone: "a1"})
	writer, _, err := jobJournal.Open(ctx, cyclamendyke.Epoch{Term: 1, Owner: "entry-a1"})
	if err != nil {
		return recordCost{}, err
	}
	before := service.TotalCounts()
	ticker := time.NewTicker(recordsDuration / time.Duration(rate*int(recordsDuration.Seconds())))
	defer ticker.Stop()
	for i := range rate * int(recordsDuration.Seconds()) {
		<-ticker.C
		job := newBatchJob(i, 1, time.Now())
		writer.Persist(cyclamendyke.JournalRecord{Job: job}, nil)
		writer.Persist(cyclamendyke.JournalRecord{Job: job, Started: true, Outcome: cyclamendyke.Outcome{Request: job.Request, Verdict: cyclamendyke.VerdictRan}}, nil)
	}
	closeCtx, cancel := context.WithTimeout(ctx, recordsCloseTimeout)
	defer cancel()
	writer.Close(closeCtx)
	after := service.TotalCounts()
	return recordCost{float64(after.Writes - before.Writes), float64(after.BytesIn - before.BytesIn)}, nil
}

// measureAccount measures one flush of the account, by the number of records.
func measureAccount(report *Report) {
	sizes := []int{50, 100, 200, 400}
	bytes := make([]Point, 0, len(sizes))
	writes := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		service := kv.New(kv.Config{})
		writer := account.New(account.Config{Store: service.As("account"), Zone: "a1", Member: "entry-a1", Started: simulationStart, FlushInterval: time.Hour})
		for i := range n {
			writer.Add(accountRecord(i))
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTimeout)
		writer.Close(ctx)
		cancel()
		counts := service.TotalCounts()
		service.Close()
		bytes = append(bytes, Point{float64(n), float64(counts.BytesIn)})
		writes = append(writes, Point{float64(n), float64(counts.Writes)})
	}
	report.addSeries("account flush bytes", "bytes", "record", bytes)
	report.addSeries("account flush writes", "writes", "record", writes)
	measureAccountRewrites(report)
}

// measureAccountRewrites measures consecutive flushes, each of which rewrites the current segment.
func measureAccountRewrites(report *Report) {
	sizes := []int{9, 18, 36, 72}
	bytes := make([]Point, len(sizes))
	var runs sync.WaitGroup
	for i, n := range sizes {
		runs.Go(func() { bytes[i] = Point{float64(n), accountBytesPerFlush(n)} })
	}
	runs.Wait()
	report.addSeries("account bytes a flush, rewriting included", "bytes", "record a flush", bytes)
}

// accountBytesPerFlush returns the mean bytes written per flush, with the given number of records added
// between flushes.
func accountBytesPerFlush(records int) float64 {
	service := kv.New(kv.Config{})
	defer service.Close()
	writer := account.New(account.Config{Store: service.As("account"), Zone: "a1", Member: "entry-a1", Started: simulationStart, FlushInterval: accountFlushInterval})
	for flush := range accountFlushes {
		for i := range records {
			writer.Add(accountRecord(flush*records + i))
		}
		time.Sleep(accountFlushInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTimeout)
	defer cancel()
	writer.Close(ctx)
	counts := service.TotalCounts()
	return float64(counts.BytesIn) / float64(counts.Writes)
}

// accountRecord returns the account record of the i-th job, which ran.
func accountRecord(i int) cyclamendyke.AccountRecord {
	return cyclamendyke.AccountRecord{
		At: time.Now(), Request: newBatchJob(i, 1, simulationStart).Request, Team: teamName(i % largeTeams), Route: "batch",
		Verdict: cyclamendyke.VerdictRan, Tasks: 1, Count: 1, CoreSeconds: 480, Workers: []cyclamendyke.WorkerName{"a1-search-017"},
	}
}

// measureAtMostOnce counts the store calls of sequential at-most-once requests.
func measureAtMostOnce(report *Report) error {
	var writes, reads []Point
	for _, n := range []int{20, 40, 80, 160} {
		service := kv.New(kv.Config{})
		registry := once.New(once.Config{Store: service.As("once"), WritesPerSecond: 10_000})
		for i := range n {
			request := newBatchJob(i, 1, simulationStart).Request
			if _, err := registry.Reserve(context.Background(), teamName(i%largeTeams), string(request), request); err != nil {
				return err
			}
			registry.Complete(teamName(i%largeTeams), string(request), cyclamendyke.Outcome{Request: request, Verdict: cyclamendyke.VerdictRan})
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTimeout)
		registry.Close(ctx)
		cancel()
		counts := service.TotalCounts()
		service.Close()
		writes = append(writes, Point{float64(n), float64(counts.Writes)})
		reads = append(reads, Point{float64(n), float64(counts.Reads)})
	}
	report.addSeries("at-most-once writes", "writes", "request", writes)
	report.addSeries("at-most-once reads", "reads", "request", reads)
	return nil
}
