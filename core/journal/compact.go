package journal

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cyclamendyke"
)

// compact rewrites the live records into new segments once CompactionThreshold segments were added.
// A failed compaction leaves the contents of the journal unchanged.
func (w *Writer) compact(ctx context.Context) {
	if len(w.head.Segments)-w.segmentsAfterCompaction < w.config.CompactionThreshold {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.CommitTimeout)
	defer cancel()
	w.expireFinished(time.Now())
	next := w.head
	next.Segments = nil
	next.Records = nil
	for _, records := range groupBySegment(w.live) {
		name, _, err := w.writeSegment(ctx, records)
		if err != nil {
			return
		}
		next.Segments = append(next.Segments, name)
	}
	if _, err := w.writeHead(ctx, next); err != nil {
		return
	}
	w.segmentsAfterCompaction = len(next.Segments)
	w.retireUnlistedSegments()
}

// retireUnlistedSegments makes the segments obsolete that the head does not list, those of failed commits and
// compactions among them. It must follow a successful write of the head, which no late write can replace then.
func (w *Writer) retireUnlistedSegments() {
	for _, name := range slices.Sorted(maps.Keys(w.segmentRevisions)) {
		if slices.Contains(w.head.Segments, name) {
			continue
		}
		key := w.config.prefix() + name
		w.obsoleteSegments = append(w.obsoleteSegments, cyclamendyke.Entry{Key: key, Revision: w.segmentRevisions[name]})
		delete(w.segmentRevisions, name)
	}
}

// groupBySegment sorts the records by request and splits them into groups that fit into one segment each.
func groupBySegment(live map[cyclamendyke.RequestID]encodedRecord) [][]encodedRecord {
	records := make([]encodedRecord, 0, len(live))
	for _, record := range live {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b encodedRecord) int { return cmp.Compare(a.Request, b.Request) })
	var groups [][]encodedRecord
	size := 0
	for _, record := range records {
		size += record.size()
		if len(groups) == 0 || size > maxSegmentBytes {
			groups = append(groups, nil)
			size = record.size()
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], record)
	}
	return groups
}

// deleteObsoleteSegments deletes up to maxDeletions segments that the head does not list, so that the
// next commit does not wait for more. It stops at the first failure; the next call or the next writer retries.
func (w *Writer) deleteObsoleteSegments(ctx context.Context) {
	for range min(maxDeletions, len(w.obsoleteSegments)) {
		callCtx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
		err := w.config.Store.Delete(callCtx, w.obsoleteSegments[0].Key, w.obsoleteSegments[0].Revision)
		cancel()
		gone := errors.Is(err, cyclamendyke.KindNotFound) || errors.Is(err, cyclamendyke.KindConflict)
		if err != nil && !gone {
			return
		}
		w.obsoleteSegments = w.obsoleteSegments[1:]
	}
}
