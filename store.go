package cyclamendyke

import (
	"context"
	"time"
)

// Revision is the store's modification counter; zero stands for a key that does not exist.
type Revision uint64

// LeaseID identifies a lease in the store; zero stands for none.
type LeaseID uint64

// Entry is one key of the store with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"` // Set only in the results of Watch.
}

// Store is the platform's key-value service; its errors match KindNotFound, KindConflict,
// KindUnavailable, KindUnknown, KindLimited or KindTooLarge.
type Store interface {
	// Get returns one key, or KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key, and the store's revision at that time.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes the key if its revision equals expected, and attaches it to the lease
	// unless that is zero.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision equals expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// GrantLease creates a lease; the keys attached to it are removed when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its time to live, or returns KindNotFound if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key that starts with prefix changes after revision after, or until hold
	// has passed; it returns the changes and the revision reached.
	Watch(ctx context.Context, prefix string, after Revision, hold time.Duration) ([]Entry, Revision, error)
}

// Keys and key prefixes of the store; each process follows everything below WatchedPrefix with a single watch.
const (
	WatchedPrefix    = "watched/"
	TablesKey        = WatchedPrefix + "tables"
	KeysKey          = WatchedPrefix + "keys"
	AllotmentsPrefix = WatchedPrefix + "allotments/" // Followed by the team.
	MembersPrefix    = WatchedPrefix + "members/"    // Followed by zone and member; attached to a lease.
	SchedulerPrefix  = WatchedPrefix + "schedulers/" // Followed by the zone; attached to the holder's lease.
	EpochPrefix      = "epochs/"                     // Followed by the zone; attached to no lease; the epoch never decreases.
	JournalPrefix    = "journal/"                    // Followed by zone and segment.
	AccountPrefix    = "account/"                    // Followed by zone and segment.
	OncePrefix       = "once/"                       // Followed by the slot of the idempotency key.
)
