package cas

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/retry"
)

// The defaults for fields of Config that are zero.
const (
	DefaultMaxAttempts    = 8
	DefaultInitialBackoff = 50 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	DefaultCallTimeout    = 2 * time.Second
)

// Config sets the store of a Writer and how it retries; zero fields take the defaults.
type Config struct {
	Store          cyclamendyke.Store
	MaxAttempts    int           // Maximum number of attempts in one call of Swap or Update.
	InitialBackoff time.Duration // Wait before the second attempt; doubles with each further one.
	MaxBackoff     time.Duration
	CallTimeout    time.Duration // Timeout of one call to the store.
}

// Writer writes keys of one store; it is safe for concurrent use.
type Writer struct {
	config Config
}

// New returns a writer for config.Store.
func New(config Config) *Writer {
	config.MaxAttempts = cmp.Or(config.MaxAttempts, DefaultMaxAttempts)
	config.InitialBackoff = cmp.Or(config.InitialBackoff, DefaultInitialBackoff)
	config.MaxBackoff = cmp.Or(config.MaxBackoff, DefaultMaxBackoff)
	config.CallTimeout = cmp.Or(config.CallTimeout, DefaultCallTimeout)
	return &Writer{config: config}
}

// Get returns the entry of a key; a key that does not exist has revision zero.
func (w *Writer) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
	defer cancel()
	entry, err := w.config.Store.Get(ctx, key)
	if errors.Is(err, cyclamendyke.KindNotFound) {
		return cyclamendyke.Entry{Key: key}, nil
	}
	return entry, err
}

// Swap writes a value if the key has the expected revision, and returns the new
// revision.
//
// No other writer may write an equal value, since Swap recognises its own write
// by the value when an answer is lost. The error is KindConflict if the value
// was certainly not written because the revision differs; KindUnavailable,
// KindLimited, KindTooLarge or KindInvalid if it was certainly not written for
// another reason; and KindUnknown otherwise.
func (w *Writer) Swap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	var unknownErr, lastErr error // The first error that leaves open whether the value was written, and the latest error.
	for attempt := range w.config.MaxAttempts {
		if attempt > 0 && !w.waitBeforeRetry(ctx, attempt) {
			break
		}
		revision, err := w.write(ctx, key, value, expected)
		if err == nil {
			return revision, nil
		}
		lastErr = err
		kind := WriteKind(err)
		if unknownErr == nil && kind == cyclamendyke.KindUnknown {
			unknownErr = err
		}
		if unknownErr == nil {
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
			return 0, newError("swap", cyclamendyke.KindUnknown, unknownErr)
		}
	}
	if unknownErr != nil {
		return 0, newError("swap", cyclamendyke.KindUnknown, unknownErr)
	}
	return 0, newError("swap", cmp.Or(WriteKind(lastErr), cyclamendyke.KindUnavailable), lastErr)
}

// Change computes the new value of a key from the present entry, or reports
// that there is nothing to write. After a conflict or a lost answer it is called
// again with the entry that the store then has.
type Change func(entry cyclamendyke.Entry) (value []byte, changed bool, err error)

// Update reads the key, applies the change and writes the result, and repeats
// this after a conflict or a lost answer.
//
// It returns the entry that was written or needed no change. The error is that
// of change, or KindUnknown if it could not be found out whether a write whose
// answer was lost took effect, or the kind of the error that prevented the write.
func (w *Writer) Update(ctx context.Context, key string, change Change) (cyclamendyke.Entry, error) {
	var unknownErr, lastErr error
	for attempt := range w.config.MaxAttempts {
		if attempt > 0 && !w.waitBeforeRetry(ctx, attempt) {
			break
		}
		entry, err := w.Get(ctx, key)
		if err != nil {
			lastErr = err
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
		lastErr = err
		switch WriteKind(err) {
		case cyclamendyke.KindUnknown:
			unknownErr = err
		case cyclamendyke.KindTooLarge, cyclamendyke.KindInvalid:
			return entry, newError("update", WriteKind(err), err)
		}
	}
	if unknownErr != nil {
		return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindUnknown, unknownErr)
	}
	if errors.Is(lastErr, cyclamendyke.KindConflict) {
		return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindConflict, lastErr)
	}
	return cyclamendyke.Entry{}, newError("update", cyclamendyke.KindUnavailable, lastErr)
}

func (w *Writer) write(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
	defer cancel()
	return w.config.Store.CompareAndSwap(ctx, key, value, expected, 0)
}

// waitBeforeRetry waits with exponential backoff, and returns false if the context ended meanwhile.
func (w *Writer) waitBeforeRetry(ctx context.Context, attempt int) bool {
	backoff := retry.Backoff{Initial: w.config.InitialBackoff, Max: w.config.MaxBackoff}
	return retry.Sleep(ctx, backoff.Delay(attempt))
}

// WriteKind returns the kind of a write's error, which is empty for nil and KindUnknown for an error of
// any other kind.
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
