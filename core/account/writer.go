package account

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Stats counts what one writer did.
type Stats struct {
	Added    uint64 // Records handed in.
	Summed   uint64 // Of these, added to a sum.
	Writes   uint64 // Segments written or rewritten.
	Bytes    uint64 // Of the values written.
	Failed   uint64 // Writes that failed or stayed in doubt.
	Buffered int    // Records and sums that wait.
}

// Writer writes one process's part of the account; it is safe for concurrent use.
type Writer struct {
	config Config
	store  *cas.Writer
	stop   context.CancelFunc
	done   sync.WaitGroup
	close  chan struct{}

	mu         sync.Mutex
	buffer     []json.RawMessage
	sums       sums
	minute     time.Time // Of individual.
	individual int       // Refusals kept one by one in this minute.
	stats      Stats
	closing    bool

	// Below is used by the writing goroutine alone.
	day      string // Of the present segment.
	number   int    // Of the present segment.
	revision cyclamendyke.Revision
	records  []json.RawMessage // In the present segment.
	size     int               // Of records, in bytes.
	inFlight *flush            // A write that has not been settled.
}

// flush is one write of a segment; it is repeated unchanged until it is settled.
type flush struct {
	key      string
	value    []byte
	expected cyclamendyke.Revision
	added    []json.RawMessage // Records that the store does not hold yet.
}

// New returns a writer that writes until Close.
func New(config Config) *Writer {
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	w := &Writer{
		config: config,
		store:  cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout}),
		stop:   stop,
		close:  make(chan struct{}),
		sums:   newSums(),
	}
	w.done.Go(func() {
		w.run(ctx)
	})
	return w
}

// Add takes a record in and returns at once; its zone is set to the writer's, and a count of zero to one.
func (w *Writer) Add(record cyclamendyke.AccountRecord) {
	record.Zone = w.config.Zone
	record.At = record.At.UTC().Round(0)
	record.Count = max(record.Count, 1)
	data, err := json.Marshal(record)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Added++
	if err != nil || len(data) > maxRecordBytes || !w.individually(record) {
		w.stats.Summed++
		w.sums.add(record)
		return
	}
	w.buffer = append(w.buffer, data)
}

// individually reports whether the record is kept by itself; the caller holds the lock.
func (w *Writer) individually(record cyclamendyke.AccountRecord) bool {
	if len(w.buffer) >= w.config.MaxBuffered {
		return false
	}
	if record.Verdict != cyclamendyke.VerdictNotRun {
		return true
	}
	if len(w.buffer) >= w.config.MaxBuffered/2 {
		return false
	}
	if minute := record.At.Truncate(time.Minute); minute.After(w.minute) {
		w.minute = minute
		w.individual = 0
	}
	w.individual++
	return w.individual <= w.config.IndividualPerMinute
}

// Stats returns the counts of this moment.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Buffered = len(w.buffer) + w.sums.len()
	return stats
}

// Close writes what waits until the context ends, and stops; it is called once.
func (w *Writer) Close(ctx context.Context) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	close(w.close)
	release := context.AfterFunc(ctx, w.stop)
	defer release()
	w.done.Wait()
	w.stop()
}

func (w *Writer) run(ctx context.Context) {
	ticker := time.NewTicker(w.config.FlushEvery)
	defer ticker.Stop()
	closing := w.close
	for {
		last := false
		select {
		case <-ctx.Done():
			return
		case <-closing:
			last = true
		case <-ticker.C:
		}
		for w.write(ctx, time.Now().UTC()) {
			if ctx.Err() != nil {
				return
			}
		}
		if last && w.empty() {
			return
		}
		if last {
			closing = nil // Tried again with each tick until the context ends.
		}
	}
}
