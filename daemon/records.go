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

// The timing of what is kept in the store.
const (
	journalOpenBackoff  = 500 * time.Millisecond
	recordsCloseTimeout = 5 * time.Second // For writing what still waits at a planned stop.
	keyReleaseTimeout   = time.Second     // How long the answer of a request that was not run waits for its key to be free.
)

// records keeps jobs, outcomes and the account in the store; a store that is away never blocks its callers.
type records struct {
	zone             cyclamendyke.ZoneName
	journal          *journal.Journal
	idempotencyKeys  *once.Register
	accountWriter    *account.Writer
	ctx              context.Context
	cancel           context.CancelFunc
	storeUnavailable func() bool // Whether the store's last calls failed.
	wg               sync.WaitGroup

	mu         sync.Mutex
	generation uint64          // Counts the calls of open; an epoch may be opened again after a gap in its authority.
	writer     *journal.Writer // Of the latest call; nil until the journal is open.
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

// open takes over the zone's journal for an epoch, as soon as the store lets it, and hands over its live records.
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

// setWriter puts a writer in place unless the journal has been opened again.
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

// persist writes a record; without an open journal, or if somebody waits for it while the store is away, it is refused at once.
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

// addAccountRecord adds a line to the addAccountRecord.
func (r *records) addAccountRecord(record cyclamendyke.AccountRecord) {
	record.Zone = r.zone
	r.accountWriter.Add(record)
}

// completeKey keeps the outcome of a request under its idempotency key.
func (r *records) completeKey(job cyclamendyke.Job, outcome cyclamendyke.Outcome) {
	r.idempotencyKeys.Complete(job.Team, job.IdempotencyKey, outcome)
}

// releaseKey frees the idempotency key of a request that has certainly not run, so that a repeat may run.
func (r *records) releaseKey(ctx context.Context, job cyclamendyke.Job) {
	ctx, cancel := context.WithTimeout(ctx, keyReleaseTimeout)
	defer cancel()
	_ = r.idempotencyKeys.Release(ctx, job.Team, job.IdempotencyKey) // Goes on by itself if the store is slow.
}

// close writes what still waits.
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
