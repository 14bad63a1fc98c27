package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/account"
	"cyclamendyke/core/journal"
	"cyclamendyke/core/once"
	"cyclamendyke/core/retry"
)

// Timing of writes to the store.
const (
	journalOpenBackoff  = 500 * time.Millisecond
	recordsCloseTimeout = 5 * time.Second // Limits the final writes at a planned stop.
	keyReleaseTimeout   = time.Second     // Limits how long the outcome of a request that did not run is delayed.
)

// records stores jobs, outcomes and accounting records in the store without blocking its callers
// while the store is unavailable.
type records struct {
	zone             cyclamendyke.ZoneName
	journal          *journal.Journal
	idempotencyKeys  *once.Registry
	accountWriter    *account.Writer
	ctx              context.Context
	cancel           context.CancelFunc
	storeUnavailable func() bool // Reports whether the last calls to the store failed.
	wg               sync.WaitGroup

	mu         sync.Mutex
	generation uint64          // Number of calls of open, which can open the same epoch again when its authority returns.
	writer     *journal.Writer // The latest generation's writer; nil until the journal is open.
}

func newRecords(member cyclamendyke.Member, store cyclamendyke.Store, storeUnavailable func() bool) *records {
	ctx, cancel := context.WithCancel(context.Background())
	return &records{
		zone:             member.Zone,
		journal:          journal.New(journal.Config{Store: store, Zone: member.Zone}),
		idempotencyKeys:  once.New(once.Config{Store: store}),
		accountWriter:    account.New(account.Config{Store: store, Zone: member.Zone, Member: member.Name, Started: member.Started}),
		storeUnavailable: storeUnavailable,
		ctx:              ctx,
		cancel:           cancel,
	}
}

// open opens the zone's journal for an epoch in the background and passes its live records to
// onLoaded. It retries until it succeeds, is called again, or a higher epoch has opened the journal.
func (r *records) open(epoch cyclamendyke.Epoch, onLoaded func([]cyclamendyke.JournalRecord)) {
	r.mu.Lock()
	old := r.writer
	r.writer = nil
	r.generation++
	generation := r.generation
	r.mu.Unlock()
	r.wg.Go(func() {
		closeWriter(old)
		for r.isCurrent(generation) && r.ctx.Err() == nil {
			writer, liveRecords, err := r.journal.Open(r.ctx, epoch)
			switch {
			case err == nil:
				r.setWriter(generation, writer)
				onLoaded(liveRecords)
				return
			case errors.Is(err, cyclamendyke.KindFenced):
				return
			}
			retry.Sleep(r.ctx, jitter(journalOpenBackoff))
		}
	})
}

func (r *records) isCurrent(generation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation == generation
}

// setWriter sets the journal writer unless a newer generation has begun.
func (r *records) setWriter(generation uint64, writer *journal.Writer) {
	r.mu.Lock()
	current := r.generation == generation
	if current {
		r.writer = writer
	}
	r.mu.Unlock()
	if !current {
		closeWriter(writer)
	}
}

func closeWriter(writer *journal.Writer) {
	if writer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTimeout)
	defer cancel()
	writer.Close(ctx)
}

// persist queues a record for the journal. It drops the record, with the result PersistRefused, if
// the journal is not open, or if onResult is set while the store is unavailable.
func (r *records) persist(record cyclamendyke.JournalRecord, onResult func(cyclamendyke.PersistResult)) {
	r.mu.Lock()
	writer := r.writer
	r.mu.Unlock()
	if writer != nil && (onResult == nil || !r.storeUnavailable()) {
		writer.Persist(record, onResult)
		return
	}
	if onResult != nil {
		onResult(cyclamendyke.PersistRefused)
	}
}

// addAccountRecord adds a record to the accounting records.
func (r *records) addAccountRecord(record cyclamendyke.AccountRecord) {
	record.Zone = r.zone
	r.accountWriter.Add(record)
}

// completeKey stores the final outcome under the job's idempotency key.
func (r *records) completeKey(job cyclamendyke.Job, outcome cyclamendyke.Outcome) {
	r.idempotencyKeys.Complete(job.Team, job.IdempotencyKey, outcome)
}

// releaseKey releases the idempotency key of a request that certainly did not run, so that a
// repeated request may run.
func (r *records) releaseKey(ctx context.Context, job cyclamendyke.Job) {
	ctx, cancel := context.WithTimeout(ctx, keyReleaseTimeout)
	defer cancel()
	_ = r.idempotencyKeys.Release(ctx, job.Team, job.IdempotencyKey) // Continues in the background if the store is slow.
}

// close stops opening the journal and writes all buffered records.
func (r *records) close() {
	r.cancel()
	r.wg.Wait()
	r.mu.Lock()
	writer := r.writer
	r.mu.Unlock()
	closeWriter(writer)
	ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTimeout)
	defer cancel()
	r.idempotencyKeys.Close(ctx)
	r.accountWriter.Close(ctx)
}
