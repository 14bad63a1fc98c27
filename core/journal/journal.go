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

// Journal is the journal of one zone; each term of the zone's scheduler opens it anew.
type Journal struct {
	config Config
	writer *cas.Writer
}

// New returns a journal that is not open yet.
func New(config Config) *Journal {
	config = config.withDefaults()
	writer := cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout})
	return &Journal{config: config, writer: writer}
}

// Open seals the journal against every lower epoch and returns its writer and
// the latest record of each job, in order of acceptance.
//
// It returns KindFenced if a higher epoch has opened it, KindInvalid if it
// cannot be read, and KindUnavailable or KindUnknown if the store did not
// answer, after which Open may be called again with the same epoch.
func (j *Journal) Open(ctx context.Context, epoch cyclamendyke.Epoch) (*Writer, []cyclamendyke.JournalRecord, error) {
	packer, err := newPacker()
	if err != nil {
		return nil, nil, err
	}
	revision, err := j.seal(ctx, packer, epoch)
	if err != nil {
		return nil, nil, err
	}
	w, err := j.load(ctx, epoch, revision)
	if err != nil {
		return nil, nil, err
	}
	w.packer = packer
	records, err := w.records()
	if err != nil {
		return nil, nil, err
	}
	w.start()
	return w, records, nil
}

// seal writes the epoch into the head, so that a lower epoch's next commit conflicts.
func (j *Journal) seal(ctx context.Context, packer *packer, epoch cyclamendyke.Epoch) (cyclamendyke.Revision, error) {
	for {
		entry, err := j.writer.Get(ctx, j.config.headKey())
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
		revision, err := j.writer.Swap(ctx, j.config.headKey(), value, entry.Revision)
		if err == nil {
			return revision, nil
		}
		if !errors.Is(err, cyclamendyke.KindConflict) {
			return 0, newError("open", cas.WriteKind(err), err)
		}
	}
}

// load reads the journal as it stands under the head just sealed.
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
	w := newWriter(j.config, j.writer, epoch)
	for _, name := range h.Segments {
		entry, found := byKey[j.config.prefix()+name]
		if !found {
			return nil, newError("open", cyclamendyke.KindInvalid, errors.New("segment "+name+" is missing"))
		}
		var sealed segment
		if err := unpack(entry.Value, &sealed); err != nil {
			return nil, err
		}
		w.overlay(sealed.Records)
		w.revisions[name] = entry.Revision
		delete(byKey, entry.Key)
	}
	w.adopt(h, revision)
	delete(byKey, j.config.headKey())
	for _, entry := range byKey {
		w.obsolete = append(w.obsolete, entry)
	}
	slices.SortFunc(w.obsolete, func(a, b cyclamendyke.Entry) int { return cmp.Compare(a.Key, b.Key) })
	w.compacted = len(h.Segments)
	w.expire(time.Now())
	return w, nil
}
