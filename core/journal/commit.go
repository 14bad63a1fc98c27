package journal

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// commit writes a batch, reports the result to its waiters, and returns the number of bytes
// written. On failure, that is the size of the segments written before the head, or zero.
func (w *Writer) commit(ctx context.Context, batch []*pendingRecord) int {
	ctx, cancel := context.WithTimeout(ctx, w.config.CommitTimeout)
	defer cancel()
	records := make([]encodedRecord, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	bytesWritten, err := w.append(ctx, records)
	result := persistResult(err)
	if errors.Is(err, cyclamendyke.KindFenced) {
		w.markFenced()
	}
	w.finishBatch(batch, result)
	return bytesWritten
}

// persistResult converts an error of append into the result of the batch's records.
func persistResult(err error) cyclamendyke.PersistResult {
	switch {
	case err == nil:
		return cyclamendyke.PersistKept
	case errors.Is(err, cyclamendyke.KindUnknown):
		return cyclamendyke.PersistUnknown
	default:
		return cyclamendyke.PersistRefused
	}
}

// finishBatch reports the result to the waiters and requeues unwritten records without waiters.
func (w *Writer) finishBatch(batch []*pendingRecord, result cyclamendyke.PersistResult) {
	var answered []*pendingRecord
	w.mu.Lock()
	for _, p := range batch {
		if len(p.waiters) > 0 || result == cyclamendyke.PersistKept {
			answered = append(answered, p)
			continue
		}
		w.queue.requeue(p)
	}
	switch result {
	case cyclamendyke.PersistKept:
		w.stats.Records += uint64(len(batch))
		w.stats.Live = len(w.live)
	case cyclamendyke.PersistUnknown:
		w.stats.Unknown += uint64(len(answered))
	default:
		w.stats.Refused += uint64(len(answered))
	}
	w.mu.Unlock()
	for _, p := range answered {
		p.notifyWaiters(result)
	}
}

// markFenced closes the channel that Fenced returns.
func (w *Writer) markFenced() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isFenced() {
		close(w.fenced)
	}
}

// append adds the records to the head and returns the number of bytes written.
// If the head would grow too large, its present records are first moved to a new segment.
//
// KindFenced means that a higher epoch has opened the journal and the records
// were not written. KindUnknown means that the records may have been written.
// Any other error means that they were not.
func (w *Writer) append(ctx context.Context, records []encodedRecord) (int, error) {
	segmentBytes := 0
	for {
		if err := w.resolveUncertainWrite(ctx); err != nil {
			return segmentBytes, err
		}
		next := w.head
		if len(next.Records) > 0 && totalSize(next.Records)+totalSize(records) > maxHeadBytes {
			name, size, err := w.writeSegment(ctx, next.Records)
			if err != nil {
				return segmentBytes, notWrittenError(err)
			}
			next.Segments = append(slices.Clone(next.Segments), name)
			next.Records = nil
			segmentBytes += size
		}
		next.Records = mergeRecords(next.Records, records)
		size, err := w.writeHead(ctx, next)
		if !errors.Is(err, cyclamendyke.KindConflict) {
			return segmentBytes + size, err
		}
		w.headUncertain = true // Either an earlier write of this epoch took effect, or a higher epoch opened the journal.
	}
}

// notWrittenError wraps an error that occurred before the head was written.
func notWrittenError(err error) error {
	return newError("append", cyclamendyke.KindUnavailable, err)
}

// resolveUncertainWrite reads the head back if it is unknown whether the last write took effect.
func (w *Writer) resolveUncertainWrite(ctx context.Context) error {
	if !w.headUncertain {
		return nil
	}
	entry, err := w.store.Get(ctx, w.config.headKey())
	if err != nil {
		return notWrittenError(err)
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	if h.Epoch != w.epoch {
		return newError("append", cyclamendyke.KindFenced, nil)
	}
	w.setHead(h, entry.Revision)
	return nil
}

// writeHead writes a new head to the store and makes it the current
// one; on an error the current head stays.
func (w *Writer) writeHead(ctx context.Context, next head) (int, error) {
	w.lastCommit = max(w.lastCommit, w.head.Commit) + 1
	next.Commit = w.lastCommit
	value, err := w.packer.pack(next)
	if err != nil {
		return 0, err
	}
	revision, err := w.store.Swap(ctx, w.config.headKey(), value, w.revision)
	if err != nil {
		kind := cas.WriteKind(err)
		w.headUncertain = w.headUncertain || kind == cyclamendyke.KindUnknown
		return 0, newError("append", kind, err)
	}
	w.setHead(next, revision)
	w.updateStats(func(s *Stats) {
		s.Commits++
		s.Bytes += uint64(len(value))
	})
	return len(value), nil
}

// setHead records the head that the store holds and applies its records.
func (w *Writer) setHead(h head, revision cyclamendyke.Revision) {
	w.head = h
	w.revision = revision
	w.headUncertain = false
	w.applyRecords(h.Records)
}

// applyRecords replaces the live records of the same jobs by newer ones.
func (w *Writer) applyRecords(records []encodedRecord) {
	for _, record := range records {
		w.live[record.Request] = record
	}
}

// writeSegment writes the records as a segment under a new name and returns its name and size in bytes.
func (w *Writer) writeSegment(ctx context.Context, records []encodedRecord) (name string, size int, err error) {
	w.lastSegment++
	name = segmentName(w.epoch, w.lastSegment)
	value, err := w.packer.pack(segment{Records: records})
	if err != nil {
		return "", 0, err
	}
	revision, err := w.store.Swap(ctx, w.config.prefix()+name, value, 0)
	if err != nil {
		return "", 0, err
	}
	w.segmentRevisions[name] = revision
	w.updateStats(func(s *Stats) {
		s.Segments++
		s.Bytes += uint64(len(value))
	})
	return name, len(value), nil
}

// mergeRecords appends records to old and drops the old records of the same jobs.
func mergeRecords(old, records []encodedRecord) []encodedRecord {
	newer := make(map[cyclamendyke.RequestID]struct{}, len(records))
	for _, record := range records {
		newer[record.Request] = struct{}{}
	}
	merged := make([]encodedRecord, 0, len(old)+len(records))
	for _, record := range old {
		if _, found := newer[record.Request]; !found {
			merged = append(merged, record)
		}
	}
	return append(merged, records...)
}

// liveRecords decodes the latest record of each job and sorts them by time of acceptance.
func (w *Writer) liveRecords() ([]cyclamendyke.JournalRecord, error) {
	records := make([]cyclamendyke.JournalRecord, 0, len(w.live))
	for _, encoded := range w.live {
		record, err := encoded.decode()
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b cyclamendyke.JournalRecord) int {
		return cmp.Or(a.Job.AcceptedAt.Compare(b.Job.AcceptedAt), cmp.Compare(a.Job.Request, b.Job.Request))
	})
	return records, nil
}

// expireFinished drops finished jobs that are older than the retention or beyond the latest MaxFinished.
func (w *Writer) expireFinished(now time.Time) {
	var finished []encodedRecord
	for _, record := range w.live {
		if record.Final {
			finished = append(finished, record)
		}
	}
	slices.SortFunc(finished, func(a, b encodedRecord) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Request, b.Request))
	})
	for i, record := range finished {
		if i >= w.config.MaxFinished || now.Sub(record.At) > w.config.Retention {
			delete(w.live, record.Request)
		}
	}
}
