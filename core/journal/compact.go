package journal

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"cyclamendyke"
)

// compact rewrites the live records into few segments once many have gathered; a failure leaves the journal as it was.
func (w *Writer) compact(ctx context.Context) {
	if len(w.head.Segments)-w.compacted < w.config.MaxSegments {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.Patience)
	defer cancel()
	w.expire(time.Now())
	next := w.head
	next.Segments = nil
	next.Records = nil
	for _, records := range parcel(w.live) {
		name, _, err := w.writeSegment(ctx, records)
		if err != nil {
			return
		}
		next.Segments = append(next.Segments, name)
	}
	old := w.head.Segments
	if _, err := w.writeHead(ctx, next); err != nil {
		return
	}
	w.compacted = len(next.Segments)
	for _, name := range old {
		key := w.config.prefix() + name
		w.obsolete = append(w.obsolete, cyclamendyke.Entry{Key: key, Revision: w.revisions[name]})
		delete(w.revisions, name)
	}
	w.deleteObsolete(ctx)
}

// parcel divides the records, in order of request, into groups that fit a segment each.
func parcel(live map[cyclamendyke.RequestID]stored) [][]stored {
	records := make([]stored, 0, len(live))
	for _, record := range live {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b stored) int { return cmp.Compare(a.Request, b.Request) })
	var groups [][]stored
	size := 0
	for _, record := range records {
		size += record.bytes()
		if len(groups) == 0 || size > segmentBytes {
			groups = append(groups, nil)
			size = record.bytes()
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], record)
	}
	return groups
}

// deleteObsolete removes segments that the head does not list; those that stay are removed later or by the next Open.
func (w *Writer) deleteObsolete(ctx context.Context) {
	for len(w.obsolete) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
		err := w.config.Store.Delete(callCtx, w.obsolete[0].Key, w.obsolete[0].Revision)
		cancel()
		gone := errors.Is(err, cyclamendyke.KindNotFound) || errors.Is(err, cyclamendyke.KindConflict)
		if err != nil && !gone {
			return
		}
		w.obsolete = w.obsolete[1:]
	}
}
