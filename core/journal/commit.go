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

// commit writes a batch, answers its waiters, and returns the bytes written, or zero if it failed.
func (w *Writer) commit(ctx context.Context, batch []*pending) int {
	ctx, cancel := context.WithTimeout(ctx, w.config.Patience)
	defer cancel()
	records := make([]stored, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	written, err := w.append(ctx, records)
	result := persistResult(err)
	if errors.Is(err, cyclamendyke.KindFenced) {
		w.oust()
	}
	w.settle(batch, result)
	return written
}

// persistResult returns what an error of append means for the batch.
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

// settle answers the waiters and puts back the records that nobody waits for and that are not kept.
func (w *Writer) settle(batch []*pending, result cyclamendyke.PersistResult) {
	var answered []*pending
	w.mu.Lock()
	for _, p := range batch {
		if len(p.waiters) > 0 || result == cyclamendyke.PersistKept {
			answered = append(answered, p)
			continue
		}
		w.queue.putBack(p)
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
		p.answer(result)
	}
}

func (w *Writer) oust() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOusted() {
		close(w.ousted)
	}
}

// append adds the records to the head, sealing what it holds first if it would grow too large.
//
// KindFenced means that a higher epoch has the journal and that the records
// were certainly not written, KindUnknown that they may have been; any other
// error that they certainly were not.
func (w *Writer) append(ctx context.Context, records []stored) (int, error) {
	for {
		if err := w.resolve(ctx); err != nil {
			return 0, err
		}
		next := w.head
		sealed := 0
		if len(next.Records) > 0 && totalBytes(next.Records)+totalBytes(records) > headBytes {
			name, size, err := w.writeSegment(ctx, next.Records)
			if err != nil {
				return 0, notWritten(err)
			}
			next.Segments = append(slices.Clone(next.Segments), name)
			next.Records = nil
			sealed = size
		}
		next.Records = replace(next.Records, records)
		size, err := w.writeHead(ctx, next)
		if !errors.Is(err, cyclamendyke.KindConflict) {
			return sealed + size, err
		}
		w.doubt = true // Either an earlier write of this epoch took effect, or a higher epoch has the journal.
	}
}

// notWritten returns an error as one that certainly left the head unwritten.
func notWritten(err error) error {
	return newError("append", cyclamendyke.KindUnavailable, err)
}

// resolve reads the head back if a write of it is in doubt.
func (w *Writer) resolve(ctx context.Context) error {
	if !w.doubt {
		return nil
	}
	entry, err := w.store.Get(ctx, w.config.headKey())
	if err != nil {
		return notWritten(err)
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	if h.Epoch != w.epoch {
		return newError("append", cyclamendyke.KindFenced, nil)
	}
	w.adopt(h, entry.Revision)
	return nil
}

// writeHead writes a new head and adopts it, or leaves the present one.
func (w *Writer) writeHead(ctx context.Context, next head) (int, error) {
	w.attempt = max(w.attempt, w.head.Commit) + 1
	next.Commit = w.attempt
	value, err := w.packer.pack(next)
	if err != nil {
		return 0, err
	}
	revision, err := w.store.Swap(ctx, w.config.headKey(), value, w.revision)
	if err != nil {
		kind := cas.WriteKind(err)
		w.doubt = w.doubt || kind == cyclamendyke.KindUnknown
		return 0, newError("append", kind, err)
	}
	w.adopt(next, revision)
	w.count(func(s *Stats) {
		s.Commits++
		s.Bytes += uint64(len(value))
	})
	return len(value), nil
}

// adopt takes a head as the one in the store.
func (w *Writer) adopt(h head, revision cyclamendyke.Revision) {
	w.head = h
	w.revision = revision
	w.doubt = false
	w.overlay(h.Records)
}

// overlay takes records as newer than all before them.
func (w *Writer) overlay(records []stored) {
	for _, record := range records {
		w.live[record.Request] = record
	}
}

// writeSegment writes records under a name that was never used before.
func (w *Writer) writeSegment(ctx context.Context, records []stored) (name string, size int, err error) {
	w.segments++
	name = segmentName(w.epoch, w.segments)
	value, err := w.packer.pack(segment{Records: records})
	if err != nil {
		return "", 0, err
	}
	revision, err := w.store.Swap(ctx, w.config.prefix()+name, value, 0)
	if err != nil {
		return "", 0, err
	}
	w.revisions[name] = revision
	w.count(func(s *Stats) {
		s.Sealed++
		s.Bytes += uint64(len(value))
	})
	return name, len(value), nil
}

// replace appends records to old, without the older ones of the same jobs.
func replace(old, records []stored) []stored {
	newer := make(map[cyclamendyke.RequestID]struct{}, len(records))
	for _, record := range records {
		newer[record.Request] = struct{}{}
	}
	merged := make([]stored, 0, len(old)+len(records))
	for _, record := range old {
		if _, found := newer[record.Request]; !found {
			merged = append(merged, record)
		}
	}
	return append(merged, records...)
}

// records returns the latest record of each job in order of acceptance.
func (w *Writer) records() ([]cyclamendyke.JournalRecord, error) {
	records := make([]cyclamendyke.JournalRecord, 0, len(w.live))
	for _, kept := range w.live {
		record, err := kept.decode()
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b cyclamendyke.JournalRecord) int {
		return cmp.Or(a.Job.Accepted.Compare(b.Job.Accepted), cmp.Compare(a.Job.Request, b.Job.Request))
	})
	return records, nil
}

// expire forgets finished jobs past their retention and all but the latest MaxFinished.
func (w *Writer) expire(now time.Time) {
	var finished []stored
	for _, record := range w.live {
		if record.Final {
			finished = append(finished, record)
		}
	}
	slices.SortFunc(finished, func(a, b stored) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Request, b.Request))
	})
	for i, record := range finished {
		if i >= w.config.MaxFinished || now.Sub(record.At) > w.config.Retention {
			delete(w.live, record.Request)
		}
	}
}
