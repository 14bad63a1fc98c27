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
	recordsFor   = 5 * time.Second
	recordsFull  = 320              // Kept jobs a second, more than the journal writes one by one.
	recordsClose = 10 * time.Second // Longest wait for the last writes.

	accountFlush   = 200 * time.Millisecond
	accountFlushes = 40
)

// recordCost is what a batch of records cost the store and this process.
type recordCost struct {
	writes, bytes float64
}

// measureRecords counts the store writes of journal, account and at-most-once records at several rates.
func measureRecords(uint64) (*Report, error) {
	report := &Report{}
	rates := []int{1, 2, 4, 8, 16}
	journals := make([]recordCost, len(rates))
	errs := make([]error, len(rates))
	var runs sync.WaitGroup
	for i, rate := range rates {
		runs.Go(func() { journals[i], errs[i] = journalAt(rate) })
	}
	runs.Wait()
	var writes, bytes []Point
	for i, rate := range rates {
		if errs[i] != nil {
			return nil, errs[i]
		}
		writes = append(writes, Point{float64(rate), journals[i].writes / recordsFor.Seconds()})
		bytes = append(bytes, Point{float64(rate), journals[i].bytes / recordsFor.Seconds()})
	}
	report.add("journal writes", "writes/s", "kept job a second", writes)
	report.add("journal bytes", "bytes/s", "kept job a second", bytes)
	full, err := journalAt(recordsFull)
	if err != nil {
		return nil, err
	}
	report.value("journal writes at 320 kept jobs a second", full.writes/recordsFor.Seconds(), "writes/s")
	report.value("journal bytes at 320 kept jobs a second", full.bytes/recordsFor.Seconds(), "bytes/s")
	measureAccount(report)
	return report, measureOnce(report)
}

// journalAt keeps and finishes rate jobs a second for recordsFor.
func journalAt(rate int) (recordCost, error) {
	service := kv.New(kv.Config{})
	defer service.Close()
	ctx := context.Background()
	opened := journal.New(journal.Config{Store: service.As("journal"), Zone: "a1"})
	writer, _, err := opened.Open(ctx, cyclamendyke.Epoch{Term: 1, Owner: "entry-a1"})
	if err != nil {
		return recordCost{}, err
	}
	before := service.TotalCounts()
	ticker := time.NewTicker(recordsFor / time.Duration(rate*int(recordsFor.Seconds())))
	defer ticker.Stop()
	for i := range rate * int(recordsFor.Seconds()) {
		<-ticker.C
		job := plainJob(i, 1, time.Now())
		writer.Persist(cyclamendyke.JournalRecord{Job: job}, nil)
		writer.Persist(cyclamendyke.JournalRecord{Job: job, Started: true, Outcome: cyclamendyke.Outcome{Request: job.Request, Verdict: cyclamendyke.VerdictRan}}, nil)
	}
	closeCtx, cancel := context.WithTimeout(ctx, recordsClose)
	defer cancel()
	writer.Close(closeCtx)
	after := service.TotalCounts()
	return recordCost{float64(after.Writes - before.Writes), float64(after.BytesIn - before.BytesIn)}, nil
}

// measureAccount measures one flush of the account at several sizes.
func measureAccount(report *Report) {
	sizes := []int{50, 100, 200, 400}
	bytes := make([]Point, 0, len(sizes))
	writes := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		service := kv.New(kv.Config{})
		writer := account.New(account.Config{Store: service.As("account"), Zone: "a1", Member: "entry-a1", Started: zoneStart, FlushInterval: time.Hour})
		for i := range n {
			writer.Add(accountRecord(i))
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordsClose)
		writer.Close(ctx)
		cancel()
		counts := service.TotalCounts()
		service.Close()
		bytes = append(bytes, Point{float64(n), float64(counts.BytesIn)})
		writes = append(writes, Point{float64(n), float64(counts.Writes)})
	}
	report.add("account flush bytes", "bytes", "record", bytes)
	report.add("account flush writes", "writes", "record", writes)
	measureAccountFlow(report)
}

// measureAccountFlow measures flush after flush, each of which rewrites its segment.
func measureAccountFlow(report *Report) {
	sizes := []int{9, 18, 36, 72}
	bytes := make([]Point, len(sizes))
	var runs sync.WaitGroup
	for i, n := range sizes {
		runs.Go(func() { bytes[i] = Point{float64(n), accountFlow(n)} })
	}
	runs.Wait()
	report.add("account bytes a flush, rewriting included", "bytes", "record a flush", bytes)
}

// accountFlow returns the bytes written a flush when so many records come between two.
func accountFlow(records int) float64 {
	service := kv.New(kv.Config{})
	defer service.Close()
	writer := account.New(account.Config{Store: service.As("account"), Zone: "a1", Member: "entry-a1", Started: zoneStart, FlushInterval: accountFlush})
	for flush := range accountFlushes {
		for i := range records {
			writer.Add(accountRecord(flush*records + i))
		}
		time.Sleep(accountFlush)
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordsClose)
	defer cancel()
	writer.Close(ctx)
	counts := service.TotalCounts()
	return float64(counts.BytesIn) / float64(counts.Writes)
}

// accountRecord is the record of a job that ran.
func accountRecord(i int) cyclamendyke.AccountRecord {
	return cyclamendyke.AccountRecord{
		At: time.Now(), Request: plainJob(i, 1, zoneStart).Request, Team: teamName(i % largeTeams), Route: "batch",
		Verdict: cyclamendyke.VerdictRan, Tasks: 1, Count: 1, CoreSeconds: 480, Workers: []cyclamendyke.WorkerName{"a1-search-017"},
	}
}

// measureOnce measures the calls of at-most-once requests one after the other.
func measureOnce(report *Report) error {
	var writes, reads []Point
	for _, n := range []int{20, 40, 80, 160} {
		service := kv.New(kv.Config{})
		register := once.New(once.Config{Store: service.As("once"), WritesPerSecond: 10_000})
		for i := range n {
			request := plainJob(i, 1, zoneStart).Request
			if _, err := register.Reserve(context.Background(), teamName(i%largeTeams), string(request), request); err != nil {
				return err
			}
			register.Complete(teamName(i%largeTeams), string(request), cyclamendyke.Outcome{Request: request, Verdict: cyclamendyke.VerdictRan})
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordsClose)
		register.Close(ctx)
		cancel()
		counts := service.TotalCounts()
		service.Close()
		writes = append(writes, Point{float64(n), float64(counts.Writes)})
		reads = append(reads, Point{float64(n), float64(counts.Reads)})
	}
	report.add("at-most-once writes", "writes", "request", writes)
	report.add("at-most-once reads", "reads", "request", reads)
	return nil
}
