package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/internal/jsonhttp"
)

var errNoAddress = errors.New("no address is configured")

// Config configures a store client.
type Config struct {
	Addresses []string      // IP and port of each store server; tried in turn.
	Caller    string        // Name of this process, sent with each request.
	Timeout   time.Duration // Limit of each call, over all addresses, to which Watch adds its hold; jsonhttp.DefaultTimeout if zero.
	Dial      Dial          // Opens connections; TCP if nil.
}

// Counts holds a client's numbers of calls, failures, connections and bytes.
type Counts = jsonhttp.Counts

// Dial opens a connection.
type Dial = jsonhttp.Dial

// Store calls the key-value store over HTTP; it is safe for concurrent use.
type Store struct {
	addresses []string
	client    *jsonhttp.Client
	preferred atomic.Uint32 // Index of the address to try first, modulo the number of addresses.
}

var _ cyclamendyke.Store = (*Store)(nil)

// New returns a client that has not opened a connection yet.
func New(config Config) *Store {
	return &Store{
		addresses: config.Addresses,
		client:    jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Timeout: config.Timeout, Dial: config.Dial}),
	}
}

// Counts returns the client's counts so far.
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

// List returns the entries whose keys start with prefix, sorted by key, and the store's revision.
func (s *Store) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	var response entriesResponse
	err := s.read(ctx, "list", 0, struct {
		Prefix string `json:"prefix"`
	}{prefix}, &response)
	return response.Entries, response.Revision, err
}

// Watch waits until a key that starts with prefix changes after revision after, or until hold
// has passed; it returns the changes and the revision reached.
func (s *Store) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	var response entriesResponse
	err := s.read(ctx, "watch", hold, struct {
		Prefix string                `json:"prefix"`
		After  cyclamendyke.Revision `json:"after"`
		Hold   time.Duration         `json:"hold-ns"`
	}{prefix, after, hold}, &response)
	return response.Entries, response.Revision, err
}

// CompareAndSwap writes the key if its revision equals expected.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	var response entriesResponse
	err := s.call(ctx, "compare-and-swap", 0, struct {
		Key      string                `json:"key"`
		Value    []byte                `json:"value"`
		Expected cyclamendyke.Revision `json:"expected"`
		Lease    cyclamendyke.LeaseID  `json:"lease,omitempty"`
	}{key, value, expected, lease}, &response)
	return response.Revision, err
}

// Delete removes the key if its revision equals expected.
func (s *Store) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	return s.call(ctx, "delete", 0, struct {
		Key      string                `json:"key"`
		Expected cyclamendyke.Revision `json:"expected"`
	}{key, expected}, &struct{}{})
}

// GrantLease creates a lease that expires after ttl unless it is extended.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	var response leaseBody
	err := s.call(ctx, "grant-lease", 0, struct {
		TTL time.Duration `json:"ttl-ns"`
	}{ttl}, &response)
	return response.Lease, err
}

// KeepAlive extends the lease, or returns KindNotFound if it has expired.
func (s *Store) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.call(ctx, "keep-alive", 0, leaseBody{lease}, &struct{}{})
}

// Revoke ends the lease and removes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.call(ctx, "revoke", 0, leaseBody{lease}, &struct{}{})
}

type entriesResponse struct {
	Entries  []cyclamendyke.Entry  `json:"entries"`
	Revision cyclamendyke.Revision `json:"revision"`
}

type leaseBody struct {
	Lease cyclamendyke.LeaseID `json:"lease"`
}

// read makes a call without side effects, so it reports a lost response as KindUnavailable.
func (s *Store) read(ctx context.Context, op string, hold time.Duration, in, out any) error {
	err := s.call(ctx, op, hold, in, out)
	if !errors.Is(err, cyclamendyke.KindUnknown) {
		return err
	}
	return &cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindUnavailable, Err: err}
}

// call tries the addresses in turn until one returns anything other than KindUnavailable. The next
// call begins with that address, or with the one after it if the response was lost.
func (s *Store) call(ctx context.Context, op string, hold time.Duration, in, out any) error {
	ctx, cancel := s.client.WithTimeout(ctx, hold)
	defer cancel()
	err := error(&cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindUnavailable, Err: errNoAddress})
	first := s.preferred.Load()
	for i := range uint32(len(s.addresses)) {
		index := (first + i) % uint32(len(s.addresses))
		url := "http://" + s.addresses[index] + "/store/" + op
		err = s.client.Call(ctx, "store."+op, url, in, out)
		if !errors.Is(err, cyclamendyke.KindUnavailable) {
			s.preferred.Store(index)
			break
		}
	}
	if errors.Is(err, cyclamendyke.KindUnknown) {
		s.client.CloseIdleConnections() // Idle connections may be dead too.
		s.preferred.Add(1)
	}
	return err
}
