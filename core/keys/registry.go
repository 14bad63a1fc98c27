package keys

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Names of the operations in errors.
const (
	opGrant    = "grant"
	opWithdraw = "withdraw"
)

const (
	idBytes     = 8
	secretBytes = 32
)

// Config configures a Registry.
type Config struct {
	Writer *cas.Writer
	Random io.Reader        // Source of identifiers and secrets; crypto/rand.Reader if nil.
	Now    func() time.Time // time.Now if nil.
	// OnWrite is called with the entry after each write, so that this process's view has
	// it even if the store fails right after.
	OnWrite func(cyclamendyke.Entry)
}

// Registry grants and withdraws keys in the store; it is safe for concurrent use.
type Registry struct {
	config Config
}

// Granted is a new key; its text is returned here only and never stored.
type Granted struct {
	ID       string
	Key      string
	Revision cyclamendyke.Revision
}

// New returns a registry that writes through config.Writer.
func New(config Config) *Registry {
	if config.Random == nil {
		config.Random = rand.Reader
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Registry{config: config}
}

// Grant adds a key for the team; after KindUnknown, a key whose text nobody knows may be active.
func (r *Registry) Grant(ctx context.Context, team cyclamendyke.TeamName) (Granted, error) {
	random := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(r.config.Random, random); err != nil {
		return Granted{}, newError(opGrant, cyclamendyke.KindUnavailable, err)
	}
	id := hex.EncodeToString(random[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(random[idBytes:])
	hash := sha256.Sum256([]byte(secret))
	record := cyclamendyke.KeyRecord{
		ID:        id,
		Team:      team,
		Hash:      hex.EncodeToString(hash[:]),
		GrantedAt: r.now(),
	}
	revision, err := r.update(ctx, opGrant, func(records []cyclamendyke.KeyRecord) ([]cyclamendyke.KeyRecord, bool, error) {
		at := slices.IndexFunc(records, hasID(id))
		switch {
		case at < 0:
			return append(records, record), true, nil
		case records[at].Hash != record.Hash:
			return nil, false, newError(opGrant, cyclamendyke.KindConflict, nil)
		default:
			return records, false, nil // An earlier attempt succeeded, but its answer was lost.
		}
	})
	if err != nil {
		return Granted{}, err
	}
	return Granted{ID: id, Key: formatKey(id, secret), Revision: revision}, nil
}

// Withdraw ends a key and returns a revision at which it is withdrawn, or
// KindNotFound; withdrawing a key again succeeds.
func (r *Registry) Withdraw(ctx context.Context, id string) (cyclamendyke.Revision, error) {
	now := r.now()
	return r.update(ctx, opWithdraw, func(records []cyclamendyke.KeyRecord) ([]cyclamendyke.KeyRecord, bool, error) {
		at := slices.IndexFunc(records, hasID(id))
		switch {
		case at < 0:
			return nil, false, newError(opWithdraw, cyclamendyke.KindNotFound, nil)
		case !records[at].WithdrawnAt.IsZero():
			return records, false, nil
		default:
			records[at].WithdrawnAt = now
			return records, true, nil
		}
	})
}

// List returns the records sorted by identifier and the revision of the list.
func (r *Registry) List(ctx context.Context) ([]cyclamendyke.KeyRecord, cyclamendyke.Revision, error) {
	entry, err := r.config.Writer.Get(ctx, cyclamendyke.KeysKey)
	if err != nil {
		return nil, 0, newError("list", cyclamendyke.KindUnavailable, err)
	}
	records, err := Decode(entry.Value)
	return records, entry.Revision, err
}

// editFunc edits the records and reports whether it changed any.
type editFunc func(records []cyclamendyke.KeyRecord) (edited []cyclamendyke.KeyRecord, changed bool, err error)

// update applies an edit, which may run more than once, and prunes the list in the same write.
func (r *Registry) update(ctx context.Context, op string, edit editFunc) (cyclamendyke.Revision, error) {
	entry, err := r.config.Writer.Update(ctx, cyclamendyke.KeysKey, func(entry cyclamendyke.Entry) ([]byte, bool, error) {
		records, err := Decode(entry.Value)
		if err != nil {
			return nil, false, err
		}
		records, changed, err := edit(records)
		if err != nil || !changed {
			return nil, false, err
		}
		value, err := Encode(prune(records, r.now()))
		if err == nil && op == opGrant && len(value) > MaxEncodedBytes {
			err = newError(op, cyclamendyke.KindTooLarge, nil)
		}
		return value, true, err
	})
	var keysErr *Error
	switch {
	case err == nil:
		if r.config.OnWrite != nil {
			r.config.OnWrite(entry)
		}
		return entry.Revision, nil
	case errors.As(err, &keysErr):
		return 0, keysErr
	default:
		return 0, newError(op, cmp.Or(cas.WriteKind(err), cyclamendyke.KindUnknown), err)
	}
}

// now returns the UTC time without the monotonic reading, which cannot be stored.
func (r *Registry) now() time.Time {
	return r.config.Now().UTC().Round(0)
}

func hasID(id string) func(cyclamendyke.KeyRecord) bool {
	return func(record cyclamendyke.KeyRecord) bool {
		return record.ID == id
	}
}
