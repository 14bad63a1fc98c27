package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/internal/jsonhttp"
)

// DefaultTimeout bounds a call beyond what it waits on purpose.
const DefaultTimeout = 2 * time.Second

// Config configures a client of workers.
type Config struct {
	Caller  string        // The name of this process.
	Timeout time.Duration // Of each attempt; DefaultTimeout if zero.
	Dial    Dial          // Makes connections; TCP if nil.
}

// Counts are a client's calls and the bytes on its connections.
type Counts = jsonhttp.Counts

// Dial makes a connection.
type Dial = jsonhttp.Dial

// Workers reaches the workers at the addresses in the list of VMs; it is safe for concurrent use.
type Workers struct {
	timeout time.Duration
	client  *jsonhttp.Client

	mu        sync.RWMutex
	addresses map[cyclamendyke.WorkerName]string
}

var _ cyclamendyke.Workers = (*Workers)(nil)

// New returns a client that knows no worker yet.
func New(config Config) *Workers {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	return &Workers{
		timeout: config.Timeout,
		client:  jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Dial: config.Dial}),
	}
}

// SetVMs replaces the addresses by those of the listed VMs.
func (w *Workers) SetVMs(vms []cyclamendyke.VM) {
	addresses := make(map[cyclamendyke.WorkerName]string, len(vms))
	for _, vm := range vms {
		addresses[vm.Name] = vm.Address
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addresses
}

// Counts returns the client's calls and bytes so far.
func (w *Workers) Counts() Counts {
	return w.client.Counts()
}

// Close closes the idle connections.
func (w *Workers) Close() {
	w.client.Close()
}

// Claim takes the worker's session for the epoch and lists everything it runs.
func (w *Workers) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	var report cyclamendyke.WorkerReport
	err := w.callTwice(ctx, "claim", worker, 0, claim, claim, &report)
	return report, err
}

// Renew extends the session and every task lease, and waits up to claim.Hold for a result to report.
func (w *Workers) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	again := claim
	again.Hold = 0
	var report cyclamendyke.WorkerReport
	err := w.callTwice(ctx, "renew", worker, claim.Hold, claim, again, &report)
	return report, err
}

// Start runs a task; it is never sent twice.
func (w *Workers) Start(ctx context.Context, worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) error {
	return w.call(ctx, w.client.Call, "start", worker, 0, start, &struct{}{})
}

// Stop throttles, checkpoints or kills a task.
func (w *Workers) Stop(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch, task cyclamendyke.TaskID, mode cyclamendyke.StopMode) error {
	body := struct {
		Epoch cyclamendyke.Epoch    `json:"epoch"`
		Task  cyclamendyke.TaskID   `json:"task"`
		Mode  cyclamendyke.StopMode `json:"mode"`
	}{epoch, task, mode}
	return w.callTwice(ctx, "stop", worker, 0, body, body, &struct{}{})
}

// Release gives up the session.
func (w *Workers) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	body := struct {
		Epoch cyclamendyke.Epoch `json:"epoch"`
	}{epoch}
	return w.callTwice(ctx, "release", worker, 0, body, body, &struct{}{})
}

// callTwice calls, and after an answer that was lost calls again on a new connection.
func (w *Workers) callTwice(ctx context.Context, op string, worker cyclamendyke.WorkerName, hold time.Duration, first, again, out any) error {
	err := w.call(ctx, w.client.Call, op, worker, hold, first, out)
	if !errors.Is(err, cyclamendyke.KindUnknown) || ctx.Err() != nil {
		return err
	}
	return w.call(ctx, w.client.CallFresh, op, worker, 0, again, out)
}

// send is a call on a kept or on a fresh connection.
type send func(ctx context.Context, op, url string, in, out any) error

func (w *Workers) call(ctx context.Context, send send, op string, worker cyclamendyke.WorkerName, hold time.Duration, in, out any) error {
	w.mu.RLock()
	address, ok := w.addresses[worker]
	w.mu.RUnlock()
	if !ok {
		return &cyclamendyke.Error{Op: "worker." + op, Kind: cyclamendyke.KindNotFound}
	}
	ctx, cancel := context.WithTimeout(ctx, hold+w.timeout)
	defer cancel()
	url := "http://" + address + "/workers/" + string(worker) + "/" + op
	return send(ctx, "worker."+op, url, in, out)
}
