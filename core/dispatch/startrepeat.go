package dispatch

import (
	"time"

	"cyclamendyke"
)

// The rules for repeating a start order that is not answered. The repetition names the same run, so that the
// target starts it at most once, and starts it at all if it has lost the first order.
const (
	startRepeatDelay = 200 * time.Millisecond // Far more than a target takes to answer.
	maxStartRepeats  = 2
	startRepeatShare = 0.1 // Repetitions for each first order. If more are unanswered, this process is probably slow itself.
	startRepeatBurst = 5.0 // Repetitions that may have been saved up.
)

// startOrders are the requests to start one run.
type startOrders struct {
	order    cyclamendyke.StartOrder
	target   cyclamendyke.Target // The incarnation that the order is for.
	sentAt   time.Duration       // When the last request was sent.
	inFlight int                 // Requests without an outcome.
	repeats  int

	unanswered int           // Requests whose outcome is unknown, so that they may yet be carried out.
	answeredAt time.Duration // When the last outcome came.
}

// startsAnswered reports whether all requests to start the run have a known outcome.
func (r *run) startsAnswered() bool {
	return r.starts.inFlight == 0 && r.starts.unanswered == 0
}

// provenAbsent reports whether a listing that was requested at sent, and does not name the run, proves that no request
// to start it has taken effect on the incarnation that answered: all had their outcome by then.
func (r *run) provenAbsent(sent time.Duration) bool {
	return r.startsAnswered() && sent > r.starts.answeredAt && sent > r.confirmedAt
}

// sendStart sends the order to start a run, for the first time or again.
func (s *Scheduler) sendStart(r *run) {
	r.starts.sentAt = s.now
	r.starts.inFlight++
	r.target.startSent(runKey{r.taskName(), r.number}, s.now)
	s.passStarts++
	leaseLeft := r.starts.order.Until - r.target.clockNow(s.now)
	s.emit(StartCommand{Target: r.starts.target, Order: r.starts.order, LeaseLeft: max(1, leaseLeft)})
}

// repeatStart sends a run's start order again, if it may, and reports whether it did.
func (s *Scheduler) repeatStart(r *run) bool {
	if r.starts.repeats >= maxStartRepeats || s.startRepeatTokens < 1 || !s.mayRepeatStart(r) {
		return false
	}
	s.startRepeatTokens--
	r.starts.repeats++
	r.starts.order.Until = max(r.starts.order.Until, s.grantLease(r.target))
	s.sendStart(r)
	return true
}

// mayRepeatStart reports whether a target that has not answered a start order may be sent the order again.
func (s *Scheduler) mayRepeatStart(r *run) bool {
	t := r.target
	isSame := t.listed && t.info.StartedMillis == r.starts.target.StartedMillis && t.info.Address == r.starts.target.Address
	isOpen := t.announced == nil && t.registered && !t.closed && !t.renewFailed && !t.info.Draining && !s.evacuated(t)
	return isSame && isOpen && !s.successorPossible && !s.startsHeld && !r.step.job.state.IsFinal()
}

// startUnanswered handles a start request whose outcome is unknown. The run is in doubt once no other request is in
// flight.
func (s *Scheduler) startUnanswered(r *run) {
	if r.starts.inFlight > 0 || s.repeatStart(r) {
		return
	}
	s.startUnknown(r)
}

// stopGangOf stops the other members of a gang of which one did not start, since they would wait for it in vain.
func (s *Scheduler) stopGangOf(r *run, reason string) {
	for _, member := range r.step.tasks.All() {
		for _, other := range member.runs {
			if other.number == r.number {
				s.stop(other, reason)
			}
		}
	}
}
