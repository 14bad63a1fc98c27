package vmlist

import (
	"context"
	"errors"
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
	body := struct {
		Zone cyclamendyke.ZoneName `json:"zone"`
	}{zone}
	var answer struct {
		VMs []cyclamendyke.VM `json:"vms"`
	}
	var err error
	for _, address := range l.addresses {
		if err = l.call(ctx, address, body, &answer); err == nil {
			return answer.VMs, nil
		}
	}
	return nil, &cyclamendyke.Error{Op: "vms.list", Kind: cyclamendyke.KindUnavailable, Err: err}
}

func (l *Lister) call(ctx context.Context, address string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	err := l.client.Call(ctx, "vms.list", "http://"+address+"/vms/list", body, answer)
	if errors.Is(err, cyclamendyke.KindUnknown) {
		l.client.DropIdle() // The connection may have gone silent.
	}
	return err
}
