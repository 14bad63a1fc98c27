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

// Journal is the journal of one zone; the zone's scheduler opens it at the start of each term.
type Journal struct {
	config Config
	store  *cas.Writer
}

// New returns a journal; Open must be called before records can be written.
func New(config Config) *Journal {
	config = config.withDefaults()
	store := cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout})
	return &Journal{config: config, store: store}
}

// Open fences off the writers of lower epochs and returns a writer and the
// latest record of each job, in order of acceptance.
//
// It returns KindFenced if a higher epoch has opened the journal, and
// KindInvalid if the stored journal cannot be decoded. If a call to the store
// failed, it returns KindUnavailable or KindUnknown; the caller may then retry
// with the same epoch.
func (j *Journal) Open(ctx context.Context, epoch cyclamendyke.Epoch) (*Writer, []cyclamendyke.JournalRecord, error) {
	packer, err := newPacker()
	if err != nil {
		return nil, nil, err
	}
	revision, err := j.fence(ctx, packer, epoch)
	if err != nil {
		return nil, nil, err
	}
	w, err := j.load(ctx, epoch, revision)
	if err != nil {
		return nil, nil, err
	}
	w.packer = packer
	records, err := w.liveRecords()
	if err != nil {
		return nil, nil, err
	}
	w.start()
	return w, records, nil
}

// fence writes the epoch into the head, so that the next commit of a lower epoch fails with a conflict.
func (j *Journal) fence(ctx context.Context, packer *packer, epoch cyclamendyke.Epoch) (cyclamendyke.Revision, error) {
	for {
		entry, err := j.store.Get(ctx, j.config.headKey())
		if err != nil {
			return 0, newError("open", cyclamendyke.KindUnavailable, err)
		}
		h, err := decodeHead(entry.Value)
		if err != nil {
			return 0, err
		}
		if h.Epoch.Compare(epoch) > 0 {
			return 0, newError("open", cyclamendyke.KindFenced, nil)
		}
		h.Epoch = epoch
		h.Commit++
		value, err := packer.pack(h)
		if err != nil {
			return 0, err
		}
		revision, err := j.store.Swap(ctx, j.config.headKey(), value, entry.Revision)
		if err == nil {
			return revision, nil
		}
		if !errors.Is(err, cyclamendyke.KindConflict) {
			return 0, newError("open", cas.WriteKind(err), err)
		}
	}
}

// load returns a writer with the records of the head that fence has just written and of its segments.
func (j *Journal) load(ctx context.Context, epoch cyclamendyke.Epoch, revision cyclamendyke.Revision) (*Writer, error) {
	ctx, cancel := context.WithTimeout(ctx, j.config.CallTimeout)
	defer cancel()
	entries, _, err := j.config.Store.List(ctx, j.config.prefix())
	if err != nil {
		return nil, newError("open", cyclamendyke.KindUnavailable, err)
	}
	byKey := make(map[string]cyclamendyke.Entry, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry
	}
	headEntry := byKey[j.config.headKey()]
	if headEntry.Revision != revision {
		return nil, newError("open", cyclamendyke.KindFenced, nil)
	}
	h, err := decodeHead(headEntry.Value)
	if err != nil {
		return nil, err
	}
	w := newWriter(j.config, j.store, epoch)
	for _, name := range h.Segments {
		entry, found := byKey[j.config.prefix()+name]
		if !found {
			return nil, newError("open", cyclamendyke.KindInvalid, errors.New("segment "+name+" is missing"))
		}
		var sealed segment
		if err := unpack(entry.Value, &sealed); err != nil {
			return nil, err
		}
		w.applyRecords(sealed.Records)
		w.segmentRevisions[name] = entry.Revision
		delete(byKey, entry.Key)
	}
	w.setHead(h, revision)
	delete(byKey, j.config.headKey())
	for _, entry := range byKey {
		w.obsoleteSegments = append(w.obsoleteSegments, entry)
	}
	slices.SortFunc(w.obsoleteSegments, func(a, b cyclamendyke.Entry) int { return cmp.Compare(a.Key, b.Key) })
	w.segmentsAfterCompaction = len(h.Segments)
	w.expireFinished(time.Now())
	return w, nil
}
