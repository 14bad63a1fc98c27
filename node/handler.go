package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

var _ member.Handler = (*Node)(nil)

// NotifySubmitted submits to this process's scheduler a workflow that a member has already stored.
func (n *Node) NotifySubmitted(_ context.Context, submission member.Submission) error {
	t := n.term.Load()
	if t == nil {
		return member.NewError("submitted", member.KindNotScheduler, nil)
	}
	if submission.Revision <= t.election.revision {
		return nil // The term has read it from the store, unless it ended before.
	}
	t.postWhenLoaded(func() { t.submit(submission) })
	return nil
}

// postWhenLoaded posts a change that is applied only after the term's state has been loaded.
func (t *term) postWhenLoaded(change func()) {
	t.post(func() {
		if !t.loaded {
			t.deferred = append(t.deferred, change)
			return
		}
		change()
	})
}

// query runs a function on the term's control goroutine and waits for its answer.
func query[R any](ctx context.Context, t *term, run func(answer func(R))) (R, error) {
	answers := make(chan R, 1)
	t.postWhenLoaded(func() { run(func(r R) { answers <- r }) })
	var zero R
	select {
	case r := <-answers:
		return r, nil
	case <-ctx.Done():
		return zero, NewError("ask", cyclamendyke.KindUnknown, ctx.Err())
	case <-t.ctx.Done():
		return zero, member.NewError("ask", member.KindNotScheduler, nil)
	}
}

// queryWait is how long a query of an unfinished workflow waits for its end. Callers ask about the time
// at which they expect it, and so learn of it at once instead of with their next query.
const queryWait = 150 * time.Millisecond

// Status returns a workflow's state from this process's scheduler, after queryWait at most.
func (n *Node) Status(ctx context.Context, id cyclamendyke.WorkflowID) (member.WorkflowStatus, error) {
	t := n.term.Load()
	if t == nil {
		return member.WorkflowStatus{}, member.NewError("status", member.KindNotScheduler, nil)
	}
	status, err := t.status(ctx, id)
	if err != nil || status.State.IsFinal() {
		return status, err
	}
	if t.waitForEnd(ctx, id) {
		return t.status(ctx, id)
	}
	return status, nil
}

// waitForEnd waits until a final state of a workflow is stored, for queryWait at most, and reports whether
// it is.
func (t *term) waitForEnd(ctx context.Context, id cyclamendyke.WorkflowID) bool {
	ended := make(chan struct{})
	stopWaiting := func() {}
	t.post(func() { stopWaiting = t.sched.NotifyFinal(id, func() { close(ended) }) })
	select {
	case <-ended:
		return true
	case <-time.After(queryWait):
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	t.post(func() { stopWaiting() })
	return false
}

// status returns a workflow's present state.
func (t *term) status(ctx context.Context, id cyclamendyke.WorkflowID) (member.WorkflowStatus, error) {
	status, err := query(ctx, t, func(answer func(member.WorkflowStatus)) {
		state, team, _ := t.sched.Status(id)
		answer(member.WorkflowStatus{State: state, Team: team})
	})
	if err == nil && status.State == "" {
		err = member.NewError("status", cyclamendyke.KindNotFound, nil)
	}
	return status, err
}

// Cancel ends a workflow and returns once the cancellation is stored.
func (n *Node) Cancel(ctx context.Context, id cyclamendyke.WorkflowID) error {
	t := n.term.Load()
	if t == nil {
		return member.NewError("cancel", member.KindNotScheduler, nil)
	}
	found, err := query(ctx, t, func(answer func(bool)) {
		if !t.sched.Cancel(id, func() { answer(true) }) {
			answer(false)
		}
	})
	if err == nil && !found {
		err = member.NewError("cancel", cyclamendyke.KindNotFound, nil)
	}
	return err
}

// Pending returns how many of a queue's unfinished workflows have not started any task.
func (n *Node) Pending(ctx context.Context, queue cyclamendyke.QueueName) (int, error) {
	t := n.term.Load()
	if t == nil {
		return 0, member.NewError("pending", member.KindNotScheduler, nil)
	}
	return query(ctx, t, func(answer func(int)) { answer(t.sched.Pending(queue)) })
}

// Advise asks the advice service on behalf of the scheduler.
func (n *Node) Advise(ctx context.Context, request member.AdviceRequest) (cyclamendyke.Advice, error) {
	if n.cfg.Adviser == nil {
		return cyclamendyke.Advice{}, member.NewError("advise", cyclamendyke.KindUnavailable, nil)
	}
	return n.cfg.Adviser.Advise(ctx, request.Step, request.Targets)
}
