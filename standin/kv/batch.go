package kv

import (
	"bytes"
	"context"
	"slices"

	"cyclamendyke"
)

var _ cyclamendyke.BatchStore = (*Store)(nil)

// Commit applies a batch if every key in it has its expected revision; otherwise it returns
// KindConflict and the current entries of these keys.
func (s *Store) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	var revision cyclamendyke.Revision
	var current []cyclamendyke.Entry
	count := Counts{Writes: 1}
	for _, put := range batch.Puts {
		count.BytesIn += uint64(len(put.Value))
	}
	err := s.write(ctx, "commit", count, func() cyclamendyke.Kind {
		guards := slices.Concat(batch.Guards, batch.Deletes)
		for _, put := range batch.Puts {
			if !put.Always {
				guards = append(guards, cyclamendyke.Guard{Key: put.Key, Expected: put.Expected})
			}
			if _, ok := s.service.leases[put.Lease]; put.Lease != 0 && !ok {
				return cyclamendyke.KindNotFound
			}
		}
		matches := true
		for _, guard := range guards {
			entry := s.service.liveEntry(guard.Key)
			entry.Key = guard.Key
			current = append(current, entry)
			matches = matches && entry.Revision == guard.Expected
		}
		if !matches {
			return cyclamendyke.KindConflict
		}
		for _, put := range batch.Puts {
			revision = s.service.put(put.Key, bytes.Clone(put.Value), put.Lease)
		}
		for _, put := range batch.Puts { // All entries written by a batch have the same revision.
			record := s.service.entries[put.Key]
			record.entry.Revision = revision
			s.service.entries[put.Key] = record
		}
		for _, deleted := range batch.Deletes {
			s.service.remove(deleted.Key)
		}
		for _, key := range batch.Removes {
			if s.service.liveEntry(key).Revision != 0 {
				s.service.remove(key)
			}
		}
		return ""
	})
	if err != nil {
		return 0, current, err
	}
	return revision, nil, nil
}
