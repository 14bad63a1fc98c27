package vmlist

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/internal/jsonhttp"
)

// Config configures a client of the VM list.
type Config struct {
	Addresses []string      // IP and port of each platform server; tried in turn.
	Caller    string        // Name of this process, sent with each request.
	Timeout   time.Duration // Limit of each attempt; jsonhttp.DefaultTimeout if zero.
	Dial      Dial          // Opens connections; TCP if nil.
}

// Counts holds a client's numbers of calls, failures, connections and bytes.
type Counts = jsonhttp.Counts

// Dial opens a connection.
type Dial = jsonhttp.Dial

// Lister reads the VM list and caches it by zone; it is safe for concurrent use.
type Lister struct {
	addresses []string
	client    *jsonhttp.Client

	mu    sync.Mutex
	cache map[cyclamendyke.ZoneName]listing
}

// listing is the response for one zone.
type listing struct {
	Version string            `json:"version"`
	VMs     []cyclamendyke.VM `json:"vms"`
}

var _ cyclamendyke.VMLister = (*Lister)(nil)

// New returns a client that has not opened a connection yet.
func New(config Config) *Lister {
	return &Lister{
		addresses: config.Addresses,
		client:    jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Timeout: config.Timeout, Dial: config.Dial}),
		cache:     map[cyclamendyke.ZoneName]listing{},
	}
}

// Counts returns the client's counts so far.
func (l *Lister) Counts() Counts {
	return l.client.Counts()
}

// Close closes the idle connections.
func (l *Lister) Close() {
	l.client.Close()
}

// ListVMs returns the VMs of one zone, or KindUnavailable if every address failed.
func (l *Lister) ListVMs(ctx context.Context, zone cyclamendyke.ZoneName) ([]cyclamendyke.VM, error) {
	l.mu.Lock()
	cached := l.cache[zone]
	l.mu.Unlock()
	var err error
	for _, address := range l.addresses {
		var response listing
		if response, err = l.call(ctx, address, zone, cached.Version); err == nil {
			return l.updateCache(zone, cached, response), nil
		}
	}
	return nil, &cyclamendyke.Error{Op: "vms.list", Kind: cyclamendyke.KindUnavailable, Err: err}
}

// call requests the zone's VMs, which the response may omit if its version is cachedVersion.
func (l *Lister) call(ctx context.Context, address string, zone cyclamendyke.ZoneName, cachedVersion string) (listing, error) {
	ctx, cancel := l.client.WithTimeout(ctx, 0)
	defer cancel()
	body := struct {
		Zone    cyclamendyke.ZoneName `json:"zone"`
		Version string                `json:"version,omitempty"`
	}{zone, cachedVersion}
	var response listing
	err := l.client.Call(ctx, "vms.list", "http://"+address+"/vms/list", body, &response)
	if errors.Is(err, cyclamendyke.KindUnknown) {
		l.client.CloseIdleConnections() // Idle connections may be dead too.
	}
	return response, err
}

// updateCache stores the response and returns its VMs, or the cached VMs if the version is unchanged.
func (l *Lister) updateCache(zone cyclamendyke.ZoneName, cached, response listing) []cyclamendyke.VM {
	if response.Version != "" && response.Version == cached.Version {
		return slices.Clone(cached.VMs)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache[zone] = response
	return slices.Clone(response.VMs)
}
