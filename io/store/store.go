package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/internal/jsonhttp"
)

// DefaultTimeout bounds a call beyond what it waits on purpose.
const DefaultTimeout = 2 * time.Second

var errNoAddress = errors.New("no address is configured")

// Config configures a store client.
type Config struct {
	Addresses []string      // IPs and ports of the service, tried in turn.
	Caller    string        // The name of this process.
	Timeout   time.Duration // Of each call; DefaultTimeout if zero.
	Dial      Dial          // Makes connections; TCP if nil.
}

// Counts are a client's calls and the bytes on its connections.
type Counts = jsonhttp.Counts

// Dial makes a connection.
type Dial = jsonhttp.Dial

// Store is the service over HTTP; it is safe for concurrent use.
type Store struct {
	addresses []string
	timeout   time.Duration
	client    *jsonhttp.Client
	current   atomic.Uint32 // Index of the address that answered last.
}

var _ cyclamendyke.Store = (*Store)(nil)

// New returns a client without connections.
func New(config Config) *Store {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	return &Store{
		addresses: config.Addresses,
		timeout:   config.Timeout,
		client:    jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Dial: config.Dial}),
	}
}

// Counts returns the client's calls and bytes so far.
func (s *Store) Counts() Counts {
	return s.client.Counts()
}

// Close closes the idle connections.
func (s *Store) Close() {
	s.client.Close()
}

// Get returns one key, or KindNotFound.
func (s *Store) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	var entry cyclamendyke.Entry
	err := s.read(ctx, "get", 0, struct {
		Key string `json:"key"`
	}{key}, &entry)
	return entry, err
}

// List returns the keys below prefix in order, and the store's revision.
func (s *Store) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	var answer entriesAnswer
	err := s.read(ctx, "list", 0, struct {
		Prefix string `json:"prefix"`
	}{prefix}, &answer)
	return answer.Entries, answer.Revision, err
}

// Watch waits until a key below prefix changes past after, or hold is over.
func (s *Store) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	var answer entriesAnswer
	err := s.read(ctx, "watch", hold, struct {
		Prefix string                `json:"prefix"`
		After  cyclamendyke.Revision `json:"after"`
		Hold   time.Duration         `json:"hold-ns"`
	}{prefix, after, hold}, &answer)
	return answer.Entries, answer.Revision, err
}

// CompareAndSwap writes the key if its revision is expected.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	var answer entriesAnswer
	err := s.call(ctx, "compare-and-swap", 0, struct {
		Key      string                `json:"key"`
		Value    []byte                `json:"value"`
		Expected cyclamendyke.Revision `json:"expected"`
		Lease    cyclamendyke.LeaseID  `json:"lease,omitempty"`
	}{key, value, expected, lease}, &answer)
	return answer.Revision, err
}

// Delete removes the key if its revision is expected.
func (s *Store) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	return s.call(ctx, "delete", 0, struct {
		Key      string                `json:"key"`
		Expected cyclamendyke.Revision `json:"expected"`
	}{key, expected}, &struct{}{})
}

// GrantLease returns a new lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	var answer leaseBody
	err := s.call(ctx, "grant-lease", 0, struct {
		TTL time.Duration `json:"ttl-ns"`
	}{ttl}, &answer)
	return answer.Lease, err
}

// KeepAlive extends the lease, or returns KindNotFound if it has lapsed.
func (s *Store) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.call(ctx, "keep-alive", 0, leaseBody{lease}, &struct{}{})
}

// Revoke ends the lease and removes its keys.
func (s *Store) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.call(ctx, "revoke", 0, leaseBody{lease}, &struct{}{})
}

type entriesAnswer struct {
	Entries  []cyclamendyke.Entry  `json:"entries"`
	Revision cyclamendyke.Revision `json:"revision"`
}

type leaseBody struct {
	Lease cyclamendyke.LeaseID `json:"lease"`
}

// read calls without effect, so that a lost answer is KindUnavailable.
func (s *Store) read(ctx context.Context, op string, hold time.Duration, in, out any) error {
	err := s.call(ctx, op, hold, in, out)
	if !errors.Is(err, cyclamendyke.KindUnknown) {
		return err
	}
	return &cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindUnavailable, Err: err}
}

// call tries the addresses in turn until one was connected to.
func (s *Store) call(ctx context.Context, op string, hold time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, hold+s.timeout)
	defer cancel()
	err := error(&cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindUnavailable, Err: errNoAddress})
	first := s.current.Load()
	for i := range uint32(len(s.addresses)) {
		index := (first + i) % uint32(len(s.addresses))
		url := "http://" + s.addresses[index] + "/store/" + op
		err = s.client.Call(ctx, "store."+op, url, in, out)
		if !errors.Is(err, cyclamendyke.KindUnavailable) {
			s.current.Store(index)
			break
		}
	}
	if errors.Is(err, cyclamendyke.KindUnknown) {
		s.client.DropIdle() // They may be silent too.
		s.current.Add(1)
	}
	return err
}
