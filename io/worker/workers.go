package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/internal/jsonhttp"
)

// Config configures a client of the workers.
type Config struct {
	Caller  string        // Name of this process, sent with each request.
	Timeout time.Duration // Limit of each attempt, to which Renew adds its hold; jsonhttp.DefaultTimeout if zero.
	Dial    Dial          // Opens connections; TCP if nil.
}

// Counts holds a client's numbers of calls, failures, connections and bytes.
type Counts = jsonhttp.Counts

// Dial opens a connection.
type Dial = jsonhttp.Dial

// Workers calls workers at the addresses given to SetVMs; it is safe for concurrent use.
type Workers struct {
	client *jsonhttp.Client

	mu        sync.RWMutex
	addresses map[cyclamendyke.WorkerName]string
}

var _ cyclamendyke.Workers = (*Workers)(nil)

// New returns a client without addresses; until SetVMs sets them, each call returns KindNotFound.
func New(config Config) *Workers {
	return &Workers{
		client: jsonhttp.New(jsonhttp.Config{Caller: config.Caller, Timeout: config.Timeout, Dial: config.Dial}),
	}
}

// SetVMs replaces the workers' addresses with those of vms.
func (w *Workers) SetVMs(vms []cyclamendyke.VM) {
	addresses := make(map[cyclamendyke.WorkerName]string, len(vms))
	for _, vm := range vms {
		addresses[vm.Name] = vm.Address
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addresses
}

// Counts returns the client's counts so far.
func (w *Workers) Counts() Counts {
	return w.client.Counts()
}

// Close closes the idle connections.
func (w *Workers) Close() {
	w.client.Close()
}

// Claim acquires the worker's session for the epoch and lists all running tasks.
func (w *Workers) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	var report cyclamendyke.WorkerReport
	err := w.callWithRetry(ctx, "claim", worker, 0, claim, claim, &report)
	return report, err
}

// Renew extends the session and every task lease, and waits up to claim.Hold for something to report.
func (w *Workers) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	retry := claim
	retry.Hold = 0
	var report cyclamendyke.WorkerReport
	err := w.callWithRetry(ctx, "renew", worker, claim.Hold, claim, retry, &report)
	return report, err
}

// Start runs a task; unlike the other calls, it is never sent a second time.
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
	return w.callWithRetry(ctx, "stop", worker, 0, body, body, &struct{}{})
}

// Release gives up the session.
func (w *Workers) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	body := struct {
		Epoch cyclamendyke.Epoch `json:"epoch"`
	}{epoch}
	return w.callWithRetry(ctx, "release", worker, 0, body, body, &struct{}{})
}

// callWithRetry calls the worker; if the response is lost, it sends retryIn once on a new connection.
func (w *Workers) callWithRetry(ctx context.Context, op string, worker cyclamendyke.WorkerName, hold time.Duration, in, retryIn, out any) error {
	err := w.call(ctx, w.client.Call, op, worker, hold, in, out)
	if !errors.Is(err, cyclamendyke.KindUnknown) || ctx.Err() != nil {
		return err
	}
	return w.call(ctx, w.client.CallNewConn, op, worker, 0, retryIn, out)
}

// callFunc is Call or CallNewConn of a jsonhttp.Client.
type callFunc func(ctx context.Context, op, url string, in, out any) error

func (w *Workers) call(ctx context.Context, send callFunc, op string, worker cyclamendyke.WorkerName, hold time.Duration, in, out any) error {
	w.mu.RLock()
	address, ok := w.addresses[worker]
	w.mu.RUnlock()
	if !ok {
		return &cyclamendyke.Error{Op: "worker." + op, Kind: cyclamendyke.KindNotFound}
	}
	ctx, cancel := w.client.WithTimeout(ctx, hold)
	defer cancel()
	url := "http://" + address + "/workers/" + string(worker) + "/" + op
	return send(ctx, "worker."+op, url, in, out)
}
