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
	Deleted  bool     `json:"deleted,omitempty"` // Set only in watch results.
}

// Store is the platform's key-value service; its errors match KindNotFound, KindConflict, KindUnavailable, KindUnknown, KindLimited or KindTooLarge.
type Store interface {
	// Get returns one key, or KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys below prefix in order, and the store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes the key if its revision is expected, and ties it to the lease if one is given.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// GrantLease returns a new lease; its keys vanish when it lapses.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its time to live, or returns KindNotFound if it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key below prefix changes past after, or hold is over, and returns the changes and the revision reached.
	Watch(ctx context.Context, prefix string, after Revision, hold time.Duration) ([]Entry, Revision, error)
}

// Keys of the store; everything below WatchedPrefix is followed by one watch per process.
const (
	WatchedPrefix    = "watched/"
	TablesKey        = WatchedPrefix + "tables"
	KeysKey          = WatchedPrefix + "keys"
	AllotmentsPrefix = WatchedPrefix + "allotments/" // Plus team.
	MembersPrefix    = WatchedPrefix + "members/"    // Plus zone and member; tied to a lease.
	SchedulerPrefix  = WatchedPrefix + "schedulers/" // Plus zone; tied to the holder's lease.
	EpochPrefix      = "epochs/"                     // Plus zone; outlives leases, never decreases.
	JournalPrefix    = "journal/"                    // Plus zone and segment.
	AccountPrefix    = "account/"                    // Plus zone and segment.
	OncePrefix       = "once/"                       // Plus slot of the idempotency key.
)
