package journal

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
	"cyclamendyke/core/retry"
)

// Stats holds the counters of one writer.
type Stats struct {
	Commits  uint64 // Successful writes of the head.
	Records  uint64 // Records in these commits.
	Bytes    uint64 // Bytes written, segments included.
	Segments uint64 // Segments written.
	Refused  uint64 // Records that were refused or not written.
	Unknown  uint64 // Records reported as PersistUnknown.
	Pending  int    // Jobs with a queued record.
	Live     int    // Jobs in the journal, including finished ones.
}

// Writer appends the records of one epoch; it is safe for concurrent use.
type Writer struct {
	config Config
	store  *cas.Writer
	epoch  cyclamendyke.Epoch
	wake   chan struct{}
	fenced chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	queue   queue
	stats   Stats
	closing bool

	// The fields below are used only by the writer's goroutine.
	packer                  *packer
	head                    head
	revision                cyclamendyke.Revision
	headUncertain           bool // A failed write of the head may have taken effect, or may still do so.
	lastCommit              uint64
	lastSegment             uint64                                   // Number of the last segment that this epoch wrote.
	segmentsAfterCompaction int                                      // Segments in the head after Open or the last compaction.
	segmentRevisions        map[string]cyclamendyke.Revision         // Revisions of the segments that are in the head or were written for one, by name.
	obsoleteSegments        []cyclamendyke.Entry                     // Segments that the head no longer lists and that are still to be deleted.
	live                    map[cyclamendyke.RequestID]encodedRecord // The latest record of each job in the store.
}

func newWriter(config Config, store *cas.Writer, epoch cyclamendyke.Epoch) *Writer {
	return &Writer{
		config:           config,
		store:            store,
		epoch:            epoch,
		wake:             make(chan struct{}, 1),
		fenced:           make(chan struct{}),
		queue:            newQueue(),
		segmentRevisions: map[string]cyclamendyke.Revision{},
		live:             map[cyclamendyke.RequestID]encodedRecord{},
	}
}

func (w *Writer) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() {
		w.run(ctx)
	})
}

// Persist queues the latest record of a job and returns without waiting for the store.
//
// If onResult is set, it is called once, from the writer's goroutine or from
// Persist itself: with PersistKept when the record or a later one of the job is
// in the store, PersistRefused if it was not written, and PersistUnknown if it
// may have been written. A record without onResult is retried until it is
// written or the writer is closed or fenced.
func (w *Writer) Persist(record cyclamendyke.JournalRecord, onResult func(cyclamendyke.PersistResult)) {
	encoded, err := encodeRecord(record, time.Now())
	if err != nil || !w.enqueue(encoded, onResult) {
		w.updateStats(func(s *Stats) { s.Refused++ })
		if onResult != nil {
			onResult(cyclamendyke.PersistRefused)
		}
	}
}

// Fenced returns a channel that is closed when a commit finds that a higher epoch has opened the journal.
func (w *Writer) Fenced() <-chan struct{} {
	return w.fenced
}

// Stats returns a snapshot of the counters.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Pending = len(w.queue.order)
	return stats
}

// Close refuses further records and stops the writer once all queued
// records are written or the context ends.
func (w *Writer) Close(ctx context.Context) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	release := context.AfterFunc(ctx, w.cancel)
	defer release()
	w.wg.Wait()
	w.cancel()
}

// enqueue queues the record and wakes the writer; it returns false if the record must be refused.
func (w *Writer) enqueue(record encodedRecord, onResult func(cyclamendyke.PersistResult)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, alreadyQueued := w.queue.byRequest[record.Request]
	full := len(w.queue.order) >= w.config.MaxPending && !alreadyQueued && onResult != nil
	if w.closing || w.isFenced() || full {
		return false
	}
	w.queue.add(record, onResult)
	w.signal()
	return true
}

func (w *Writer) isFenced() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) updateStats(update func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	update(&w.stats)
}

// run commits batches until the context ends, the writer is fenced, or it is closed and the queue is empty.
func (w *Writer) run(ctx context.Context) {
	defer w.refuseRemaining()
	w.deleteObsoleteSegments(ctx)
	for {
		if !w.awaitWork(ctx) {
			return
		}
		w.mu.Lock()
		batch := w.queue.takeBatch()
		w.mu.Unlock()
		bytesWritten := w.commit(ctx, batch)
		if w.isFenced() {
			return
		}
		if bytesWritten > 0 {
			w.compact(ctx)
			w.deleteObsoleteSegments(ctx)
		}
		if !retry.Sleep(ctx, w.commitDelay(bytesWritten)) {
			return
		}
	}
}

// awaitWork waits until a batch should be written; it returns false if the writer should stop.
func (w *Writer) awaitWork(ctx context.Context) bool {
	for {
		w.mu.Lock()
		queued, closing := len(w.queue.order), w.closing
		w.mu.Unlock()
		switch {
		case queued > 0 && (closing || queued >= maxBatchRecords):
			return ctx.Err() == nil
		case queued > 0:
			return retry.Sleep(ctx, w.config.Linger)
		case closing:
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.wake:
		}
	}
}

// commitDelay returns the pause after a commit that wrote this many
// bytes, where zero means a failed commit.
func (w *Writer) commitDelay(bytesWritten int) time.Duration {
	if bytesWritten == 0 {
		return w.config.MaxCommitInterval
	}
	rateDelay := time.Duration(bytesWritten) * time.Second / time.Duration(w.config.BytesPerSecond)
	return min(max(rateDelay, w.config.MinCommitInterval), w.config.MaxCommitInterval)
}

// refuseRemaining stops accepting records and refuses those that are still queued.
func (w *Writer) refuseRemaining() {
	w.mu.Lock()
	w.closing = true
	remaining := w.queue.drain()
	w.stats.Refused += uint64(len(remaining))
	w.mu.Unlock()
	for _, p := range remaining {
		p.notifyWaiters(cyclamendyke.PersistRefused)
	}
}
