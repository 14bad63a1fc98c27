package cas

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"time"

	"cyclamendyke"
)

// The defaults of Config.
const (
	DefaultAttempts    = 8
	DefaultPause       = 50 * time.Millisecond
	DefaultMaxPause    = time.Second
	DefaultCallTimeout = 2 * time.Second
)

// Config sets up a Writer; zero fields take the defaults.
type Config struct {
	Store       cyclamendyke.Store
	Attempts    int           // Writes tried for one call of Swap or Update.
	Pause       time.Duration // Before the second attempt; doubles with each further one.
	MaxPause    time.Duration
	CallTimeout time.Duration // Of one call to the store.
}

// Writer writes keys of one store; it is safe for concurrent use.
type Writer struct {
	config Config
}

// New returns a writer for the store.
func New(config Config) *Writer {
	config.Attempts = cmp.Or(config.Attempts, DefaultAttempts)
	config.Pause = cmp.Or(config.Pause, DefaultPause)
	config.MaxPause = cmp.Or(config.MaxPause, DefaultMaxPause)
	config.CallTimeout = cmp.Or(config.CallTimeout, DefaultCallTimeout)
	return &Writer{config: config}
}

// Get returns one key; a key that does not exist has revision zero.
func (w *Writer) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
	defer cancel()
	entry, err := w.config.Store.Get(ctx, key)
	if errors.Is(err, cyclamendyke.KindNotFound) {
		return cyclamendyke.Entry{Key: key}, nil
	}
	return entry, err
}

// Swap writes a value that no other writer would write, and returns
// KindConflict if it was certainly not written because the revision differs,
// KindUnavailable, KindLimited, KindTooLarge or KindInvalid if it was
// certainly not written for another cause, else KindUnknown.
func (w *Writer) Swap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	var doubt, last error // The first error after which the value may have been written, and the latest error.
	for attempt := range w.config.Attempts {
		if attempt > 0 && !w.pause(ctx, attempt) {
			break
		}
		revision, err := w.write(ctx, key, value, expected)
		if err == nil {
			return revision, nil
		}
		last = err
		kind := WriteKind(err)
		if doubt == nil && kind == cyclamendyke.KindUnknown {
			doubt = err
		}
		if doubt == nil {
			if kind == cyclamendyke.KindUnavailable || kind == cyclamendyke.KindLimited {
				continue
			}
			return 0, newError("swap", kind, err)
		}
		entry, err := w.Get(ctx, key)
		switch {
		case err != nil || entry.Revision == expected:
			continue
		case bytes.Equal(entry.Value, value):
			return entry.Revision, nil
		default:
			return 0, newError("swap", cyclamendyke.KindUnknown, doubt)
		}
	}
	if doubt != nil {
		return 0, newError("swap", cyclamendyke.KindUnknown, doubt)
	}
	return 0, newError("swap", cmp.Or(WriteKind(last), cyclamendyke.KindUnavailable), last)
}

// Change computes the new value of a key from the present entry, or reports
// that there is nothing to write; after a lost answer it is called again with
// what the store then holds.
type Change func(entry cyclamendyke.Entry) (value []byte, changed bool, err error)

// Update reads the key, applies the change and writes, and starts again after
// a conflict or a lost answer; it returns the entry in force, KindUnknown if a
// lost answer could not be settled, or the error of change.
func (w *Writer) Update(ctx context.Context, key string, change Change) (cyclamendyke.Entry, error) {
	var doubt, last error
	for attempt := range w.config.Attempts {
		if attempt > 0 && !w.pause(ctx, attempt) {
			break
		}
		entry, err := w.Get(ctx, key)
		if err != nil {
			last = err
			continue
		}
		value, changed, err := change(entry)
		if err != nil || !changed {
			return entry, err
		}
		revision, err := w.write(ctx, key, value, entry.Revision)
		if err == nil {
			return cyclamendyke.Entry{Key: key, Value: value, Revision: revision}, nil
		}
		last = err
		switch WriteKind(err) {
		case cyclamendyke.KindUnknown:
			doubt = err
		case cyclamendyke.KindTooLarge, cyclamendyke.KindInvalid:
			return entry, newError("update", WriteKind(err), err)
		}
	}
	if doubt != nil {
		return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindUnknown, doubt)
	}
	if errors.Is(last, cyclamendyke.KindConflict) {
		return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindConflict, last)
	}
	return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindUnavailable, last)
}

func (w *Writer) write(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
	defer cancel()
	return w.config.Store.CompareAndSwap(ctx, key, value, expected, 0)
}

// pause waits before an attempt and reports whether the context still holds.
func (w *Writer) pause(ctx context.Context, attempt int) bool {
	wait := w.config.MaxPause
	if shift := attempt - 1; shift < 16 {
		wait = min(wait, w.config.Pause<<shift)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// WriteKind returns the kind of a write's error, KindUnknown for anything unclassified, and an empty kind for nil.
func WriteKind(err error) cyclamendyke.Kind {
	if err == nil {
		return ""
	}
	for _, kind := range []cyclamendyke.Kind{
		cyclamendyke.KindUnknown,
		cyclamendyke.KindConflict,
		cyclamendyke.KindUnavailable,
		cyclamendyke.KindLimited,
		cyclamendyke.KindTooLarge,
		cyclamendyke.KindInvalid,
	} {
		if errors.Is(err, kind) {
			return kind
		}
	}
	return cyclamendyke.KindUnknown
}
