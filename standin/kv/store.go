package kv

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

var errAnswerLost = errors.New("answer lost")

// Store calls the service as one caller, to which the faults may apply.
type Store struct {
	service *Service
	caller  string
}

var _ cyclamendyke.Store = (*Store)(nil)

// Get returns the entry of one key, or KindNotFound.
func (s *Store) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	if err := s.service.admit(ctx, "get", s.caller, Counts{Reads: 1}); err != nil {
		return cyclamendyke.Entry{}, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	found := s.service.liveEntry(key)
	if found.Revision == 0 {
		return cyclamendyke.Entry{}, newError("get", cyclamendyke.KindNotFound, nil)
	}
	s.countBytesOut([]cyclamendyke.Entry{found})
	found.Value = bytes.Clone(found.Value)
	return found, nil
}

// List returns the entries whose keys start with prefix, sorted by key, and the service's revision.
func (s *Store) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	if err := s.service.admit(ctx, "list", s.caller, Counts{Reads: 1}); err != nil {
		return nil, 0, err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	found := s.entriesAfter(prefix, 0)
	found = slices.DeleteFunc(found, func(e cyclamendyke.Entry) bool { return e.Deleted })
	return found, s.service.revision, nil
}

// CompareAndSwap writes the key if its revision equals expected, which is 0 for a key that does not
// exist. It attaches the key to the lease unless lease is 0.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, newError("compare-and-swap", cyclamendyke.KindTooLarge, nil)
	}
	var revision cyclamendyke.Revision
	count := Counts{Writes: 1, BytesIn: uint64(len(value))}
	err := s.write(ctx, "compare-and-swap", count, func() cyclamendyke.Kind {
		if s.service.liveEntry(key).Revision != expected {
			return cyclamendyke.KindConflict
		}
		if _, ok := s.service.leases[lease]; lease != 0 && !ok {
			return cyclamendyke.KindNotFound
		}
		revision = s.service.put(key, bytes.Clone(value), lease)
		return ""
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete removes the key if its revision equals expected.
func (s *Store) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	return s.write(ctx, "delete", Counts{Writes: 1}, func() cyclamendyke.Kind {
		current := s.service.liveEntry(key).Revision
		if current == 0 {
			return cyclamendyke.KindNotFound
		}
		if current != expected {
			return cyclamendyke.KindConflict
		}
		s.service.remove(key)
		return ""
	})
}

// GrantLease creates a lease that expires after ttl unless it is extended.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	if ttl <= 0 {
		return 0, newError("grant-lease", cyclamendyke.KindInvalid, nil)
	}
	var id cyclamendyke.LeaseID
	err := s.write(ctx, "grant-lease", Counts{Writes: 1}, func() cyclamendyke.Kind {
		id = s.service.grantLease(ttl)
		return ""
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive extends the lease by its time to live, or returns KindNotFound if it has expired.
func (s *Store) KeepAlive(ctx context.Context, id cyclamendyke.LeaseID) error {
	return s.write(ctx, "keep-alive", Counts{Writes: 1}, func() cyclamendyke.Kind {
		if !s.service.extendLease(id) {
			return cyclamendyke.KindNotFound
		}
		return ""
	})
}

// Revoke ends the lease and removes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id cyclamendyke.LeaseID) error {
	return s.write(ctx, "revoke", Counts{Writes: 1}, func() cyclamendyke.Kind {
		if !s.service.revokeLease(id) {
			return cyclamendyke.KindNotFound
		}
		return ""
	})
}

// Watch waits up to hold for changes of keys that start with prefix, and returns those whose
// revisions are above after, and the service's revision.
func (s *Store) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	if err := s.service.admit(ctx, "watch", s.caller, Counts{Reads: 1, Watches: 1}); err != nil {
		return nil, 0, err
	}
	holdTimer := time.NewTimer(hold)
	defer holdTimer.Stop()
	for waiting := true; ; {
		changes, revision, changed, err := s.poll(prefix, after)
		if err != nil || len(changes) > 0 || !waiting {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			waiting = false
		case <-ctx.Done():
			return nil, 0, newError("watch", cyclamendyke.KindUnavailable, ctx.Err())
		}
	}
}

// poll returns the changes whose revisions are above after, the service's revision, and a channel
// that is closed when an entry or the faults change.
func (s *Store) poll(prefix string, after cyclamendyke.Revision) ([]cyclamendyke.Entry, cyclamendyke.Revision, <-chan struct{}, error) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if s.service.unreachable(s.caller) {
		return nil, 0, nil, newError("watch", cyclamendyke.KindUnavailable, errDown)
	}
	return s.entriesAfter(prefix, after), s.service.revision, s.service.changed, nil
}

// entriesAfter returns the entries and tombstones whose keys start with prefix and whose revisions
// are above after, sorted by key, and adds their size to the caller's BytesOut.
func (s *Store) entriesAfter(prefix string, after cyclamendyke.Revision) []cyclamendyke.Entry {
	var found []cyclamendyke.Entry
	for key, candidate := range s.service.entries {
		if candidate.entry.Revision <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		entry := candidate.entry
		entry.Value = bytes.Clone(entry.Value)
		found = append(found, entry)
	}
	slices.SortFunc(found, func(a, b cyclamendyke.Entry) int { return cmp.Compare(a.Key, b.Key) })
	s.countBytesOut(found)
	return found
}

func (s *Store) countBytesOut(entries []cyclamendyke.Entry) {
	size := 0
	for _, entry := range entries {
		size += len(entry.Value)
	}
	s.service.counts[s.caller] = s.service.counts[s.caller].add(Counts{BytesOut: uint64(size)})
}

// write performs one write with the current faults: it may fail, or return KindUnknown and take
// effect at once or later.
func (s *Store) write(ctx context.Context, op string, count Counts, apply func() cyclamendyke.Kind) error {
	if err := s.service.admit(ctx, op, s.caller, count); err != nil {
		return err
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if s.service.deferWrite(apply) {
		return newError(op, cyclamendyke.KindUnknown, errAnswerLost)
	}
	kind := apply()
	if s.service.loseAnswer() {
		return newError(op, cyclamendyke.KindUnknown, errAnswerLost)
	}
	if kind != "" {
		return newError(op, kind, nil)
	}
	return nil
}
