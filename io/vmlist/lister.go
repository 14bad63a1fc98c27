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

// DefaultTimeout bounds a call.
const DefaultTimeout = 2 * time.Second

// Config configures a client of the list.
type Config struct {
	Addresses []string      // IPs and ports of the platform, tried in turn.
	Caller    string        // The name of this process.
	Timeout   time.Duration // Of each attempt; DefaultTimeout if zero.
	Dial      Dial          // Makes connections; TCP if nil.
}

// Counts are a client's calls and the bytes on its connections.
type Counts = jsonhttp.Counts

// Dial makes a connection.
type Dial = jsonhttp.Dial

// Lister reads the list; it is safe for concurrent use.
type Lister struct {
	addresses []string
	timeout   time.Duration
	client    *jsonhttp.Client

	mu   sync.Mutex
	last map[cyclamendyke.ZoneName]listing
}

// listing is a zone's list as it was last answered.
type listing struct {
	Version string            `json:"version"`
	VMs     []cyclamendyke.VM `json:"vms"`
}

var _ cyclamendyke.VMLister = (*Lister)(nil)

// New returns a client without connections.
func New(config Config) *Lister {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	return &Lister{
		addresses: config.Addresses,
		timeout:   config.Timeout,
		client:    jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Dial: config.Dial}),
		last:      map[cyclamendyke.ZoneName]listing{},
	}
}

// Counts returns the client's calls and bytes so far.
func (l *Lister) Counts() Counts {
	return l.client.Counts()
}

// Close closes the idle connections.
func (l *Lister) Close() {
	l.client.Close()
}

// ListVMs returns the VMs of one zone, or KindUnavailable if no address answered.
func (l *Lister) ListVMs(ctx context.Context, zone cyclamendyke.ZoneName) ([]cyclamendyke.VM, error) {
	l.mu.Lock()
	known := l.last[zone]
	l.mu.Unlock()
	var err error
	for _, address := range l.addresses {
		var answer listing
		if answer, err = l.call(ctx, address, zone, known.Version); err == nil {
			return l.take(zone, known, answer), nil
		}
	}
	return nil, &cyclamendyke.Error{Op: "vms.list", Kind: cyclamendyke.KindUnavailable, Err: err}
}

// call asks for the list unless its version is the known one.
func (l *Lister) call(ctx context.Context, address string, zone cyclamendyke.ZoneName, version string) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	body := struct {
		Zone    cyclamendyke.ZoneName `json:"zone"`
		Version string                `json:"version,omitempty"`
	}{zone, version}
	var answer listing
	err := l.client.Call(ctx, "vms.list", "http://"+address+"/vms/list", body, &answer)
	if errors.Is(err, cyclamendyke.KindUnknown) {
		l.client.DropIdle() // The connection may have gone silent.
	}
	return answer, err
}

// take keeps an answer and returns its rows, which are the known ones if the version is.
func (l *Lister) take(zone cyclamendyke.ZoneName, known, answer listing) []cyclamendyke.VM {
	if answer.Version != "" && answer.Version == known.Version {
		return slices.Clone(known.VMs)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[zone] = answer
	return slices.Clone(answer.VMs)
}
