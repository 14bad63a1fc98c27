package account

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"cyclamendyke"
)

// flushSegment writes one segment and reports whether it succeeded, after which more records may be left.
func (w *Writer) flushSegment(ctx context.Context, now time.Time) bool {
	if w.inFlight == nil {
		w.inFlight = w.prepareWrite(now)
	}
	if w.inFlight == nil {
		return false
	}
	written := w.writeInFlight(ctx)
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

// prepareWrite moves ended aggregates and buffered records into a write of the
// current or a new segment; it returns nil if there are none.
func (w *Writer) prepareWrite(now time.Time) *segmentWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, aggregate := range w.aggregates.takeEnded(now, w.closing) {
		if data, err := json.Marshal(aggregate); err == nil {
			w.buffer = append(w.buffer, data)
		}
	}
	if len(w.buffer) == 0 {
		return nil
	}
	today := now.Format(dayFormat)
	if today != w.segmentDay || w.segmentSize+len(w.buffer[0]) > maxSegmentBytes {
		w.startSegment(today)
	}
	size, count := w.segmentSize, 0
	for _, data := range w.buffer {
		if count > 0 && size+len(data) > maxSegmentBytes {
			break
		}
		size += len(data) + 1
		count++
	}
	added := w.buffer[:count:count]
	w.buffer = w.buffer[count:]
	return w.newSegmentWrite(added)
}

// startSegment starts a new, empty segment; the previous one stays as it is.
func (w *Writer) startSegment(day string) {
	w.segmentDay = day
	w.segmentNumber++
	w.segmentRevision = 0
	w.segmentRecords = nil
	w.segmentSize = 0
}

// newSegmentWrite returns the write that adds records to the current segment.
func (w *Writer) newSegmentWrite(added []json.RawMessage) *segmentWrite {
	records := slices.Concat(w.segmentRecords, added)
	value, err := json.Marshal(segment{Records: records})
	if err != nil {
		return nil // Cannot happen: Add and prepareWrite have encoded every record.
	}
	return &segmentWrite{key: w.config.segmentKey(w.segmentDay, w.segmentNumber), value: value, expected: w.segmentRevision, added: added}
}

// writeInFlight performs the prepared write, reads the segment back after an
// error, and reports whether it is in the store.
func (w *Writer) writeInFlight(ctx context.Context) bool {
	write := w.inFlight
	revision, err := w.store.Swap(ctx, write.key, write.value, write.expected)
	if err != nil {
		entry, getErr := w.store.Get(ctx, write.key)
		switch {
		case getErr != nil || entry.Revision == write.expected:
			return false
		case !bytes.Equal(entry.Value, write.value):
			w.startSegment(w.segmentDay) // Another writer created this segment; leave it and write to the next one.
			w.inFlight = w.newSegmentWrite(write.added)
			return false
		}
		revision = entry.Revision
	}
	w.markWritten(write, revision)
	return true
}

// markWritten updates the current segment after a successful write.
func (w *Writer) markWritten(write *segmentWrite, revision cyclamendyke.Revision) {
	w.segmentRevision = revision
	w.segmentRecords = append(w.segmentRecords, write.added...)
	for _, data := range write.added {
		w.segmentSize += len(data) + 1
	}
}

// isDrained reports whether everything has been written.
func (w *Writer) isDrained() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight == nil && len(w.buffer) == 0 && w.aggregates.len() == 0
}
