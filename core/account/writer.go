package account

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Stats holds the counters of one writer.
type Stats struct {
	Added      uint64 // Calls of Add.
	Aggregated uint64 // Records of these that were added to an aggregate.
	Writes     uint64 // Successful writes of a segment.
	Bytes      uint64 // Bytes of these writes.
	Failed     uint64 // Writes that failed or whose result is unknown.
	Buffered   int    // Records and aggregates that are not part of a write yet.
}

// Writer writes the accounting records of one process; it is safe for concurrent use.
type Writer struct {
	config      Config
	store       *cas.Writer
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	closeSignal chan struct{}

	mu               sync.Mutex
	buffer           []json.RawMessage
	aggregates       aggregates
	individualMinute time.Time // Minute that individualCount refers to.
	individualCount  int       // Refusals of this minute for which the buffer had room, including those beyond MaxIndividualPerMinute.
	stats            Stats
	closing          bool

	// The fields below are used only by the writer's goroutine and describe the current segment.
	segmentDay      string
	segmentNumber   int
	segmentRevision cyclamendyke.Revision
	segmentRecords  []json.RawMessage // Records that the store holds.
	segmentSize     int               // Size of these records in bytes.
	inFlight        *segmentWrite     // Write that is not confirmed yet; nil if none.
}

// segmentWrite is one write of a segment. It is retried unchanged until it is confirmed,
// unless another writer has created the segment.
type segmentWrite struct {
	key      string
	value    []byte
	expected cyclamendyke.Revision
	added    []json.RawMessage // Records that this write adds to the segment.
}

// New returns a writer and starts its goroutine, which runs until Close.
func New(config Config) *Writer {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		config:      config,
		store:       cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout}),
		cancel:      cancel,
		closeSignal: make(chan struct{}),
		aggregates:  newAggregates(),
	}
	w.wg.Go(func() {
		w.run(ctx)
	})
	return w
}

// Add buffers a record and returns without waiting for the store.
// It sets the record's zone to the writer's and a count of zero to one.
func (w *Writer) Add(record cyclamendyke.AccountRecord) {
	record.Zone = w.config.Zone
	record.At = record.At.UTC().Round(0)
	record.Count = max(record.Count, 1)
	data, err := json.Marshal(record)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Added++
	if err != nil || len(data) > maxRecordBytes || !w.keepIndividually(record) {
		w.stats.Aggregated++
		w.aggregates.add(record)
		return
	}
	w.buffer = append(w.buffer, data)
}

// keepIndividually reports whether the record is stored on its own
// instead of aggregated; the caller holds the lock.
func (w *Writer) keepIndividually(record cyclamendyke.AccountRecord) bool {
	if len(w.buffer) >= w.config.MaxBuffered {
		return false
	}
	if record.Verdict != cyclamendyke.VerdictNotRun {
		return true
	}
	if len(w.buffer) >= w.config.MaxBuffered/2 {
		return false
	}
	if minute := record.At.Truncate(time.Minute); minute.After(w.individualMinute) {
		w.individualMinute = minute
		w.individualCount = 0
	}
	w.individualCount++
	return w.individualCount <= w.config.MaxIndividualPerMinute
}

// Stats returns a snapshot of the counters.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Buffered = len(w.buffer) + w.aggregates.len()
	return stats
}

// Close writes the remaining records and stops the writer, at the latest
// when the context ends; it must be called only once.
func (w *Writer) Close(ctx context.Context) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	close(w.closeSignal)
	release := context.AfterFunc(ctx, w.cancel)
	defer release()
	w.wg.Wait()
	w.cancel()
}

// run flushes at each tick and from Close on every closeRetryInterval. It returns when the
// context ends, or after Close once everything is written.
func (w *Writer) run(ctx context.Context) {
	ticker := time.NewTicker(w.config.FlushInterval)
	defer ticker.Stop()
	closeSignal := w.closeSignal
	for {
		select {
		case <-ctx.Done():
			return
		case <-closeSignal:
			closeSignal = nil
			ticker.Reset(min(closeRetryInterval, w.config.FlushInterval))
		case <-ticker.C:
		}
		w.flush(ctx)
		isClosing := closeSignal == nil
		if ctx.Err() != nil || isClosing && w.isDrained() {
			return
		}
	}
}

// flush writes segments until nothing is left to write, one fails or the context ends.
func (w *Writer) flush(ctx context.Context) {
	for w.flushSegment(ctx, time.Now().UTC()) {
		if ctx.Err() != nil {
			return
		}
	}
}
