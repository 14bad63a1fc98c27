package account

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"cyclamendyke"
)

// write writes one segment and reports whether that worked, in which case more may wait.
func (w *Writer) write(ctx context.Context, now time.Time) bool {
	if w.inFlight == nil {
		w.inFlight = w.prepare(now)
	}
	if w.inFlight == nil {
		return false
	}
	written := w.send(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !written {
		w.stats.Failed++
		return false
	}
	w.stats.Writes++
	w.stats.Bytes += uint64(len(w.inFlight.value))
	w.inFlight = nil
	return true
}

// prepare takes what fits the present segment, or starts the next one; it returns nil if nothing waits.
func (w *Writer) prepare(now time.Time) *flush {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, sum := range w.sums.take(now, w.closing) {
		if data, err := json.Marshal(sum); err == nil {
			w.buffer = append(w.buffer, data)
		}
	}
	if len(w.buffer) == 0 {
		return nil
	}
	today := now.Format(dayFormat)
	if today != w.day || w.size+len(w.buffer[0]) > segmentBytes {
		w.nextSegment(today)
	}
	size, count := w.size, 0
	for _, data := range w.buffer {
		if count > 0 && size+len(data) > segmentBytes {
			break
		}
		size += len(data) + 1
		count++
	}
	added := w.buffer[:count:count]
	w.buffer = w.buffer[count:]
	return w.newFlush(added)
}

// nextSegment leaves the present segment as it is.
func (w *Writer) nextSegment(day string) {
	w.day = day
	w.number++
	w.revision = 0
	w.records = nil
	w.size = 0
}

func (w *Writer) newFlush(added []json.RawMessage) *flush {
	records := slices.Concat(w.records, added)
	value, err := json.Marshal(segment{Records: records})
	if err != nil {
		return nil // Every record was encoded by this package.
	}
	return &flush{key: w.config.segmentKey(w.day, w.number), value: value, expected: w.revision, added: added}
}

// send writes the flush, reads it back after a lost answer, and reports whether it is in the store.
func (w *Writer) send(ctx context.Context) bool {
	f := w.inFlight
	revision, err := w.store.Swap(ctx, f.key, f.value, f.expected)
	if err != nil {
		entry, getErr := w.store.Get(ctx, f.key)
		switch {
		case getErr != nil || entry.Revision == f.expected:
			return false
		case !bytes.Equal(entry.Value, f.value):
			w.nextSegment(w.day) // Another writer has the key; its records stay.
			w.inFlight = w.newFlush(f.added)
			return false
		}
		revision = entry.Revision
	}
	w.settled(f, revision)
	return true
}

func (w *Writer) settled(f *flush, revision cyclamendyke.Revision) {
	w.revision = revision
	w.records = append(w.records, f.added...)
	for _, data := range f.added {
		w.size += len(data) + 1
	}
}

// empty reports whether nothing waits for the store.
func (w *Writer) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight == nil && len(w.buffer) == 0 && w.sums.len() == 0
}
