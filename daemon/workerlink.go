package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// The timing of calls to workers.
const (
	workerCallTimeout    = 3 * time.Second // Beyond the hold of a renewal.
	startCallTimeout     = 2 * time.Second
	workerRetryMin       = 200 * time.Millisecond
	workerRetryMax       = 3 * time.Second
	failuresUntilVerdict = 2 // The second call uses a fresh connection.
	orderQueueLength     = 256
)

// sessionOrder is what worker links are to send at present.
type sessionOrder struct {
	claim cyclamendyke.Claim
	send  bool
	renew bool // Task leases may be extended, which only a scheduler with authority does.
}

// workerEvents receives what worker links learn; each call returns after it was taken in.
type workerEvents interface {
	claimed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool
	renewed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool
	refused(worker cyclamendyke.WorkerName, err error)
	unreachable(worker cyclamendyke.WorkerName)
	startAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error)
	stopAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error)
}

// workerLink keeps one worker's session and sends it the scheduler's orders.
type workerLink struct {
	vm      cyclamendyke.VM
	workers cyclamendyke.Workers
	events  workerEvents
	order   *atomic.Pointer[sessionOrder]
	starts  *atomic.Uint64 // Counts the starts that this process has sent.
	kick    chan struct{}  // Says that order has changed.
	orders  chan cyclamendyke.Command
	cancel  context.CancelFunc
	invited atomic.Bool // The role asks for one claim.
	relist  atomic.Bool // Asks for a complete listing from the next call.

	epoch    cyclamendyke.Epoch       // Of the claim in force, zero if there is none.
	mode     cyclamendyke.SessionMode // Of the last renewal.
	seen     atomic.Uint64            // Highest report sequence that was answered.
	ack      uint64                   // Highest one that a scheduler has taken in.
	failures int
}

// kicked wakes the link because the order has changed.
func (l *workerLink) kicked() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// keepSession renews with authority, and without it claims when invited, until ctx ends.
func (l *workerLink) keepSession(ctx context.Context) {
	for ctx.Err() == nil {
		order := l.order.Load()
		if !order.send {
			l.epoch = cyclamendyke.Epoch{}
		}
		invited := l.invited.Swap(false)
		if !order.send || !order.renew && !invited {
			l.wait(ctx, time.Hour)
			continue
		}
		if err := l.sessionCall(ctx, order); err != nil {
			l.wait(ctx, workerRetry(l.failures))
		}
	}
}

// invite lets the link make one claim without authority.
func (l *workerLink) invite() {
	l.invited.Store(true)
	l.kicked()
}

// wait sleeps until the order changes, ctx ends or d is over.
func (l *workerLink) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.kick:
	case <-timer.C:
	}
}

// workerRetry returns the jittered pause after a number of failures in a row.
func workerRetry(failures int) time.Duration {
	pause := min(workerRetryMin<<min(failures, 8), workerRetryMax)
	return pause/2 + rand.N(pause/2)
}

// sessionCall sends one claim or renewal and reports its answer.
func (l *workerLink) sessionCall(ctx context.Context, order *sessionOrder) error {
	claim := order.claim
	if l.relist.Swap(false) {
		l.epoch = cyclamendyke.Epoch{}
	}
	fresh := l.epoch != claim.Epoch || !order.renew
	if fresh || l.mode != claim.Mode || l.failures > 0 {
		claim.Hold = 0
	}
	claim.Ack = l.ack
	claim.StartFloor = l.starts.Load() + 1
	sent := time.Now()
	report, err := l.send(ctx, claim, fresh)
	if err != nil {
		return l.failed(ctx, err)
	}
	l.failures = 0
	l.epoch = claim.Epoch
	l.mode = claim.Mode
	l.seen.Store(report.Sequence) // Before the report is taken in, which may start its tasks again.
	takeIn := l.events.renewed
	if fresh {
		takeIn = l.events.claimed
	}
	if takeIn(sent, claim, report) {
		l.ack = report.Sequence
	}
	return nil
}

// send makes the call; a change of the order ends a renewal that waits.
func (l *workerLink) send(ctx context.Context, claim cyclamendyke.Claim, fresh bool) (cyclamendyke.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, claim.Hold+workerCallTimeout)
	defer cancel()
	if fresh {
		return l.workers.Claim(ctx, l.vm.Name, claim)
	}
	if claim.Hold > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-l.kick:
				cancel()
			case <-stop:
			}
		}()
	}
	return l.workers.Renew(ctx, l.vm.Name, claim)
}

// failed sorts a failed call into a refusal by the worker and a silent worker.
func (l *workerLink) failed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	switch {
	case errors.Is(err, cyclamendyke.KindFenced),
		errors.Is(err, cyclamendyke.KindSessionHeld),
		errors.Is(err, cyclamendyke.KindNoSession):
		l.epoch = cyclamendyke.Epoch{}
		l.failures = 0
		l.events.refused(l.vm.Name, err)
		return err
	case errors.Is(err, context.Canceled):
		return nil // The order has changed; send the new one at once.
	}
	l.failures++
	if l.failures >= failuresUntilVerdict {
		l.epoch = cyclamendyke.Epoch{} // What it runs is to be listed anew once it is back.
		l.events.unreachable(l.vm.Name)
	}
	return err
}

// carryOutOrders sends starts and stops in their order until ctx ends.
func (l *workerLink) carryOutOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-l.orders:
			l.carryOut(ctx, order)
		}
	}
}

func (l *workerLink) carryOut(ctx context.Context, order cyclamendyke.Command) {
	ctx, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	switch order := order.(type) {
	case cyclamendyke.StartCommand:
		l.events.startAnswered(l.vm.Name, order.Start.Task, l.start(ctx, order))
	case cyclamendyke.StopCommand:
		err := l.workers.Stop(ctx, l.vm.Name, order.Epoch, order.Task, order.Mode)
		l.events.stopAnswered(l.vm.Name, order.Task, order.Mode, err)
	}
}

// start sends a start unless the right to send it has lapsed while it waited here.
func (l *workerLink) start(ctx context.Context, order cyclamendyke.StartCommand) error {
	if !time.Now().Before(order.NotAfter) {
		return newError("start", cyclamendyke.KindUnavailable, errors.New("the authority lapsed before the start was sent"))
	}
	order.Start.Order = l.starts.Add(1)
	order.Start.Ack = l.seen.Load()
	return l.workers.Start(ctx, l.vm.Name, order.Start)
}
