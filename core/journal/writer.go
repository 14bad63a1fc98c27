package journal

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Stats counts what one writer did.
type Stats struct {
	Commits uint64 // Writes of the head that took effect.
	Records uint64 // Records in them.
	Bytes   uint64 // Bytes of the values written, segments included.
	Sealed  uint64 // Segments written.
	Refused uint64 // Records certainly not kept.
	Unknown uint64 // Records in doubt.
	Pending int    // Jobs waiting to be written.
	Live    int    // Jobs kept, finished ones included.
}

// Writer appends the records of one epoch; it is safe for concurrent use.
type Writer struct {
	config Config
	store  *cas.Writer
	epoch  cyclamendyke.Epoch
	wake   chan struct{}
	ousted chan struct{}
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	queue   queue
	stats   Stats
	closing bool

	// Below is used by the writing goroutine alone.
	packer    *packer
	head      head
	revision  cyclamendyke.Revision
	doubt     bool // A write of the head may still take effect.
	attempt   uint64
	segments  uint64                            // Numbers the segments of this epoch.
	compacted int                               // Segments left by the last compaction.
	revisions map[string]cyclamendyke.Revision  // Of the listed segments by name.
	obsolete  []cyclamendyke.Entry              // Segments to delete.
	live      map[cyclamendyke.RequestID]stored // The latest record of each job in the store.
}

func newWriter(config Config, store *cas.Writer, epoch cyclamendyke.Epoch) *Writer {
	return &Writer{
		config:    config,
		store:     store,
		epoch:     epoch,
		wake:      make(chan struct{}, 1),
		ousted:    make(chan struct{}),
		queue:     newQueue(),
		revisions: map[string]cyclamendyke.Revision{},
		live:      map[cyclamendyke.RequestID]stored{},
	}
}

func (w *Writer) start() {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.done.Go(func() {
		w.run(ctx)
	})
}

// Persist hands over the latest record of a job and returns at once.
//
// With result set it is called once, from the writer's goroutine or from this
// call: PersistKept once the record or a later one of the job is in the store,
// PersistRefused if it certainly is not, PersistUnknown if it may be. A record
// without result is tried until it is written or the epoch is ousted.
func (w *Writer) Persist(record cyclamendyke.JournalRecord, result func(cyclamendyke.PersistResult)) {
	encoded, err := encodeRecord(record, time.Now())
	if err != nil || !w.enqueue(encoded, result) {
		w.count(func(s *Stats) { s.Refused++ })
		if result != nil {
			result(cyclamendyke.PersistRefused)
		}
	}
}

// Ousted is closed once a higher epoch has opened the journal.
func (w *Writer) Ousted() <-chan struct{} {
	return w.ousted
}

// Stats returns the counts of this moment.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Pending = len(w.queue.order)
	return stats
}

// Close refuses further records, writes those that wait until the context ends, and stops.
func (w *Writer) Close(ctx context.Context) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	release := context.AfterFunc(ctx, w.stop)
	defer release()
	w.done.Wait()
	w.stop()
}

func (w *Writer) enqueue(record stored, result func(cyclamendyke.PersistResult)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, merges := w.queue.byRequest[record.Request]
	full := len(w.queue.order) >= w.config.MaxPending && !merges && result != nil
	if w.closing || w.isOusted() || full {
		return false
	}
	w.queue.add(record, result)
	w.signal()
	return true
}

func (w *Writer) isOusted() bool {
	select {
	case <-w.ousted:
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

func (w *Writer) count(change func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.stats)
}

// run writes batch after batch until it is stopped, ousted or closed with nothing left.
func (w *Writer) run(ctx context.Context) {
	defer w.refuseRest()
	w.deleteObsolete(ctx)
	for {
		if !w.awaitWork(ctx) {
			return
		}
		w.mu.Lock()
		batch := w.queue.take()
		w.mu.Unlock()
		written := w.commit(ctx, batch)
		if w.isOusted() {
			return
		}
		if written > 0 {
			w.compact(ctx)
		}
		if !sleep(ctx, w.spacing(written)) {
			return
		}
	}
}

// awaitWork waits for a record and then for others to join it; it reports false when the writer should end.
func (w *Writer) awaitWork(ctx context.Context) bool {
	for {
		w.mu.Lock()
		waiting, closing := len(w.queue.order), w.closing
		w.mu.Unlock()
		switch {
		case waiting > 0 && (closing || waiting >= maxBatchRecords):
			return ctx.Err() == nil
		case waiting > 0:
			return sleep(ctx, w.config.Linger)
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

// spacing returns the wait after a commit of so many bytes, zero for one that failed.
func (w *Writer) spacing(written int) time.Duration {
	if written == 0 {
		return w.config.MaxInterval
	}
	paced := time.Duration(written) * time.Second / time.Duration(w.config.BytesPerSecond)
	return min(max(paced, w.config.Interval), w.config.MaxInterval)
}

func (w *Writer) refuseRest() {
	w.mu.Lock()
	w.closing = true
	rest := w.queue.drain()
	w.stats.Refused += uint64(len(rest))
	w.mu.Unlock()
	for _, p := range rest {
		p.answer(cyclamendyke.PersistRefused)
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
