package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// Timeouts and limits of calls to workers.
const (
	sessionCallTimeout       = 3 * time.Second // Added to the hold time of a renewal.
	orderCallTimeout         = 2 * time.Second // Also limits the release of a session.
	workerBackoffMin         = 200 * time.Millisecond
	workerBackoffMax         = 3 * time.Second
	failuresUntilUnreachable = 2 // The second call uses a fresh connection.
	orderQueueLength         = 256
)

// sessionRequest is the claim that worker links currently send.
type sessionRequest struct {
	claim    cyclamendyke.Claim
	active   bool // The role allows sending the claim.
	mayRenew bool // This process has authority, without which it must not extend task leases.
}

// workerEvents receives the results of calls to workers. Methods about a session return once the
// result is processed, the others once it is queued.
type workerEvents interface {
	onClaimed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool
	onRenewed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool
	onRefused(worker cyclamendyke.WorkerName, err error)
	onUnreachable(worker cyclamendyke.WorkerName)
	onStartAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error)
	onStopAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error)
}

// workerLink maintains the session with one worker and sends it the scheduler's orders.
type workerLink struct {
	vm             cyclamendyke.VM
	workers        cyclamendyke.Workers
	events         workerEvents
	sessionRequest *atomic.Pointer[sessionRequest]
	startCount     *atomic.Uint64 // Number of starts that this process has sent.
	wakeup         chan struct{}  // Interrupts a wait or a waiting renewal of keepSession.
	orders         chan cyclamendyke.Command
	cancel         context.CancelFunc
	claimAllowed   atomic.Bool // The role allows one claim without authority.
	relist         atomic.Bool // Requests a full listing with the next call.

	epoch            cyclamendyke.Epoch       // Epoch of the granted claim, zero if there is none.
	mode             cyclamendyke.SessionMode // Mode of the last granted claim.
	receivedSequence atomic.Uint64            // Highest report sequence received.
	handledSequence  uint64                   // Highest report sequence processed by a scheduler.
	failures         int                      // Consecutive session calls without an answer.
}

// wake makes keepSession read the session request and the flags again.
func (l *workerLink) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// keepSession renews the session while this process has authority, and otherwise sends a claim when
// one is allowed, until ctx ends.
func (l *workerLink) keepSession(ctx context.Context) {
	for ctx.Err() == nil {
		request := l.sessionRequest.Load()
		if !request.active {
			l.epoch = cyclamendyke.Epoch{}
		}
		claimAllowed := l.claimAllowed.Swap(false)
		if !request.active || !request.mayRenew && !claimAllowed {
			l.wait(ctx, time.Hour)
			continue
		}
		if err := l.sessionCall(ctx, request); err != nil {
			l.wait(ctx, workerBackoff(l.failures))
		}
	}
}

// allowClaim lets the link send one claim without authority.
func (l *workerLink) allowClaim() {
	l.claimAllowed.Store(true)
	l.wake()
}

// wait blocks until the link is woken, ctx ends or d has passed.
func (l *workerLink) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.wakeup:
	case <-timer.C:
	}
}

// workerBackoff returns the jittered delay after a number of consecutive failures.
func workerBackoff(failures int) time.Duration {
	delay := min(workerBackoffMin<<min(failures, 8), workerBackoffMax)
	return delay/2 + rand.N(delay/2)
}

// sessionCall sends one claim or renewal and passes the worker's report to the controller.
func (l *workerLink) sessionCall(ctx context.Context, request *sessionRequest) error {
	claim := request.claim
	if l.relist.Swap(false) {
		l.epoch = cyclamendyke.Epoch{}
	}
	claiming := l.epoch != claim.Epoch || !request.mayRenew
	if claiming || l.mode != claim.Mode || l.failures > 0 {
		claim.Hold = 0
	}
	claim.Ack = l.handledSequence
	claim.StartFloor = l.startCount.Load() + 1
	sent := time.Now()
	report, err := l.send(ctx, claim, claiming)
	if err != nil {
		return l.handleFailure(ctx, err)
	}
	l.failures = 0
	l.epoch = claim.Epoch
	l.mode = claim.Mode
	// Set before the report is processed, which may start its tasks again: those starts acknowledge it.
	l.receivedSequence.Store(report.Sequence)
	handleReport := l.events.onRenewed
	if claiming {
		handleReport = l.events.onClaimed
	}
	if handleReport(sent, claim, report) {
		l.handledSequence = report.Sequence
	}
	return nil
}

// send sends the claim or renewal; wake cancels a renewal that waits at the worker.
func (l *workerLink) send(ctx context.Context, claim cyclamendyke.Claim, claiming bool) (cyclamendyke.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, claim.Hold+sessionCallTimeout)
	defer cancel()
	if claiming {
		return l.workers.Claim(ctx, l.vm.Name, claim)
	}
	if claim.Hold > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-l.wakeup:
				cancel()
			case <-stop:
			}
		}()
	}
	return l.workers.Renew(ctx, l.vm.Name, claim)
}

// handleFailure reports a refused session or an unreachable worker to the controller. It returns nil
// if wake cancelled the call, so that the next call follows without a delay.
func (l *workerLink) handleFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	switch {
	case errors.Is(err, cyclamendyke.KindFenced),
		errors.Is(err, cyclamendyke.KindSessionHeld),
		errors.Is(err, cyclamendyke.KindNoSession):
		l.epoch = cyclamendyke.Epoch{}
		l.failures = 0
		l.events.onRefused(l.vm.Name, err)
		return err
	case errors.Is(err, context.Canceled):
		return nil // The session request has changed; send the new one at once.
	}
	l.failures++
	if l.failures >= failuresUntilUnreachable {
		l.epoch = cyclamendyke.Epoch{} // Request a full listing when the worker returns.
		l.events.onUnreachable(l.vm.Name)
	}
	return err
}

// runOrders sends starts and stops in order until ctx ends.
func (l *workerLink) runOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-l.orders:
			l.runOrder(ctx, order)
		}
	}
}

func (l *workerLink) runOrder(ctx context.Context, order cyclamendyke.Command) {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	switch order := order.(type) {
	case cyclamendyke.StartCommand:
		l.events.onStartAnswered(l.vm.Name, order.Start.Task, l.start(ctx, order))
	case cyclamendyke.StopCommand:
		err := l.workers.Stop(ctx, l.vm.Name, order.Epoch, order.Task, order.Mode)
		l.events.onStopAnswered(l.vm.Name, order.Task, order.Mode, err)
	}
}

// start sends a start unless the authority for it lapsed while it was queued.
func (l *workerLink) start(ctx context.Context, order cyclamendyke.StartCommand) error {
	if !time.Now().Before(order.NotAfter) {
		return newError("start", cyclamendyke.KindUnavailable, errors.New("the authority lapsed before the start was sent"))
	}
	order.Start.Order = l.startCount.Add(1)
	order.Start.Ack = l.receivedSequence.Load()
	return l.workers.Start(ctx, l.vm.Name, order.Start)
}
