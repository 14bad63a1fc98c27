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
	journalOpenPause = 500 * time.Millisecond
	recordsCloseTime = 5 * time.Second // For writing what still waits at a planned stop.
	giveBackTime     = time.Second     // How long the answer of a request that was not run waits for its key to be free.
)

// records keeps jobs, outcomes and the account in the store; a store that is away never blocks its callers.
type records struct {
	zone    cyclamendyke.ZoneName
	journal *journal.Journal
	once    *once.Registry
	lines   *account.Writer
	ctx     context.Context
	cancel  context.CancelFunc
	away    func() bool // Whether the store's last calls failed.
	done    sync.WaitGroup

	mu     sync.Mutex
	opened uint64          // Counts the calls of open; an epoch may be opened again after a gap in its authority.
	writer *journal.Writer // Of the latest call; nil until the journal is open.
}

func newRecords(member cyclamendyke.Member, store cyclamendyke.Store, away func() bool) *records {
	ctx, cancel := context.WithCancel(context.Background())
	return &records{
		zone:    member.Zone,
		journal: journal.New(journal.Config{Store: store, Zone: member.Zone}),
		once:    once.New(once.Config{Store: store}),
		lines:   account.New(account.Config{Store: store, Zone: member.Zone, Member: member.Name, Started: member.Started}),
		away:    away,
		ctx:     ctx,
		cancel:  cancel,
	}
}

// open takes over the zone's journal for an epoch, as soon as the store lets it, and hands over its live records.
func (r *records) open(epoch cyclamendyke.Epoch, loaded func([]cyclamendyke.JournalRecord)) {
	r.mu.Lock()
	old := r.writer
	r.writer = nil
	r.opened++
	opened := r.opened
	r.mu.Unlock()
	r.done.Go(func() {
		closeWriter(old)
		for r.isCurrent(opened) && r.ctx.Err() == nil {
			writer, found, err := r.journal.Open(r.ctx, epoch)
			switch {
			case err == nil:
				r.use(opened, writer)
				loaded(found)
				return
			case errors.Is(err, cyclamendyke.KindFenced):
				return
			}
			pause(r.ctx, jitter(journalOpenPause))
		}
	})
}

func (r *records) isCurrent(opened uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened == opened
}

// use puts a writer in place unless the journal has been opened again.
func (r *records) use(opened uint64, writer *journal.Writer) {
	r.mu.Lock()
	current := r.opened == opened
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
	ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTime)
	defer cancel()
	writer.Close(ctx)
}

// keep writes a record; without an open journal, or if somebody waits for it while the store is away, it is refused at once.
func (r *records) keep(record cyclamendyke.JournalRecord, kept func(cyclamendyke.PersistResult)) {
	r.mu.Lock()
	writer := r.writer
	r.mu.Unlock()
	if writer != nil && (kept == nil || !r.away()) {
		writer.Persist(record, kept)
		return
	}
	if kept != nil {
		kept(cyclamendyke.PersistRefused)
	}
}

// account adds a line to the account.
func (r *records) account(record cyclamendyke.AccountRecord) {
	record.Zone = r.zone
	r.lines.Add(record)
}

// finish keeps the outcome of a request under its idempotency key.
func (r *records) finish(job cyclamendyke.Job, outcome cyclamendyke.Outcome) {
	r.once.Complete(job.Team, job.IdempotencyKey, outcome)
}

// giveBack frees the idempotency key of a request that has certainly not run, so that a repeat may run.
func (r *records) giveBack(ctx context.Context, job cyclamendyke.Job) {
	ctx, cancel := context.WithTimeout(ctx, giveBackTime)
	defer cancel()
	_ = r.once.Release(ctx, job.Team, job.IdempotencyKey) // Goes on by itself if the store is slow.
}

// close writes what still waits.
func (r *records) close() {
	r.cancel()
	r.done.Wait()
	r.mu.Lock()
	writer := r.writer
	r.mu.Unlock()
	closeWriter(writer)
	ctx, cancel := context.WithTimeout(context.Background(), recordsCloseTime)
	defer cancel()
	r.once.Close(ctx)
	r.lines.Close(ctx)
}
