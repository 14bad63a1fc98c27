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
	generation uint64          // Counts the calls of open, because an epoch is opened again when its authority returns.
	writer     *journal.Writer // Writer of the latest generation; nil until the journal is open.
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

// open takes over the zone's journal for an epoch, retrying until the store allows it, and passes
// its live records to onLoaded.
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
			writer, found, err := r.journal.Open(r.ctx, epoch)
			switch {
			case err == nil:
				r.setWriter(generation, writer)
				onLoaded(found)
				return
			case errors.Is(err, cyclamendyke.KindFenced):
				return
			}
			sleep(r.ctx, jitter(journalOpenBackoff))
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

// persist writes a record. It refuses the record at once if the journal is not open, or if the
// caller waits for the result while the store is unavailable.
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

// completeKey stores the outcome of a request under its idempotency key.
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

// close writes what is still buffered.
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
