package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// The timing of asking the last scheduler for its final list.
const (
	finalListTimeout    = 1500 * time.Millisecond // For one call.
	finalListRetryDelay = 200 * time.Millisecond
	finalListWait       = 5 * time.Second // From the election; the last scheduler may be suspended for a while.
)

// finalList is the list of runs that a term leaves at its end. It stays in memory, so that the next scheduler
// can ask for it although the term has ended.
type finalList struct {
	epoch uint64
	ready chan struct{} // Closed when the fields below are set.

	value   []byte
	err     error
	takenAt time.Duration
}

// The outcomes of asking for a final list, besides the kinds of errors.
const (
	finalListReceived  = "received"
	finalListOwn       = "own"               // This process was the last scheduler.
	finalListNoAddress = "unknown scheduler" // This process has not seen the last scheduler's record.
)

// leaveFinalList takes the final list after the control loop has ended: no command is carried out any more.
func (t *term) leaveFinalList() {
	t.sched.Advance(bootTime(), time.Now())
	t.final.value, t.final.err = t.sched.FinalList(t.loaded)
	t.final.takenAt = bootTime()
	close(t.final.ready)
}

// FinalList ends an earlier term of this process and returns the final list of the last one, if that was of
// the epoch right before the one that asks.
func (n *Node) FinalList(ctx context.Context, request member.FinalListRequest) (member.FinalList, error) {
	if t := n.term.Load(); t != nil && t.epoch < request.Epoch {
		t.end("the scheduler of a later epoch asks for the final list")
	}
	list := n.final.Load()
	if list == nil || list.epoch+1 != request.Epoch {
		return member.FinalList{}, member.NewError("final list", cyclamendyke.KindNotFound, nil)
	}
	select {
	case <-list.ready:
	case <-ctx.Done():
		return member.FinalList{}, member.NewError("final list", cyclamendyke.KindUnknown, ctx.Err())
	}
	if list.err != nil {
		return member.FinalList{}, member.NewError("final list", cyclamendyke.KindNotFound, list.err)
	}
	age := bootTime() - list.takenAt
	n.cfg.Log.Info("final list given", "epoch", list.epoch, "to", request.From, "bytes", len(list.value), "age", age)
	return member.FinalList{Value: list.value, Age: age}, nil
}

// askForFinalList obtains the final list of the epoch right before; own is the list that this process's last
// term left, or nil.
func (t *term) askForFinalList(own *finalList) {
	last, isKnown := t.node.dir.schedulerOf(t.epoch - 1)
	switch {
	case own != nil && own.epoch+1 == t.epoch:
		t.takeOwnFinalList(own)
	case t.epoch == 1:
	case !isKnown:
		t.finalListMissing("", finalListNoAddress, nil)
	default:
		t.requestFinalList(last)
	}
}

func (t *term) takeOwnFinalList(own *finalList) {
	select {
	case <-own.ready:
	case <-t.ctx.Done():
		return
	}
	if own.err != nil {
		t.finalListMissing(t.node.cfg.Settings.Node, string(cyclamendyke.KindInvalid), own.err)
		return
	}
	t.addFinalList(t.node.cfg.Settings.Node, finalListOwn, own.value, dispatch.FinalListTimes{NotBefore: own.takenAt, NotAfter: own.takenAt})
}

// requestFinalList asks the last scheduler, repeatedly if it does not answer. If an answer is lost, the last
// term has ended nevertheless, and the list is still there.
func (t *term) requestFinalList(last memberRecord) {
	var err error
	for t.ctx.Err() == nil && bootTime() < t.election.requestedAt+finalListWait {
		var list member.FinalList
		sent := bootTime()
		list, err = t.callForFinalList(last.Address)
		if err == nil {
			taken := dispatch.FinalListTimes{NotBefore: sent - list.Age, NotAfter: bootTime() - list.Age}
			t.addFinalList(last.Name, finalListReceived, list.Value, taken)
			return
		}
		kind := cyclamendyke.KindOf(err)
		if kind == cyclamendyke.KindNotFound || kind == cyclamendyke.KindInvalid {
			break
		}
		sleep(t.ctx, finalListRetryDelay)
	}
	if t.ctx.Err() == nil {
		t.finalListMissing(last.Name, string(cyclamendyke.KindOf(err)), err)
	}
}

func (t *term) callForFinalList(address string) (member.FinalList, error) {
	ctx, cancel := context.WithTimeout(t.ctx, finalListTimeout)
	defer cancel()
	return t.node.peers.FinalList(ctx, address, member.FinalListRequest{Epoch: t.epoch, From: t.node.cfg.Settings.Node})
}

// addFinalList passes a final list to the scheduler.
func (t *term) addFinalList(from cyclamendyke.MemberName, outcome string, value []byte, taken dispatch.FinalListTimes) {
	t.postWhenLoaded(func() {
		summary, err := t.sched.AddFinalList(value, taken)
		if err != nil {
			t.finalListMissing(from, string(cyclamendyke.KindOf(err)), err)
			return
		}
		t.node.cfg.Metrics.FinalLists.WithLabelValues(outcome).Inc()
		t.node.cfg.Log.Info("final list added", "epoch", t.epoch, "from", from, "targets", summary.Targets, "complete", summary.Complete,
			"runs", summary.Runs, "age", bootTime()-taken.NotAfter, "took", bootTime()-t.election.requestedAt)
	})
}

// finalListMissing notes that the term goes on without the final list.
func (t *term) finalListMissing(from cyclamendyke.MemberName, outcome string, err error) {
	t.node.cfg.Metrics.FinalLists.WithLabelValues(outcome).Inc()
	t.node.cfg.Log.Info("no final list", "epoch", t.epoch, "from", from, "outcome", outcome, "err", err)
}
