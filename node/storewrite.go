package node

import (
	"cmp"
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/storepath"
)

// Paths by which a workflow was stored, for the metrics.
const (
	pathOwn    = "own"
	pathMember = "member"
)

var (
	errNoPath      = errors.New("the store is not responding")
	errAnswered    = errors.New("the caller has been answered")
	errOwnPathDown = errors.New("this VM does not reach the store")
)

// storeWorkflow stores a workflow by this VM's own path to the store or through other members. Callers with
// the same workflow share its attempts.
func (n *Node) storeWorkflow(ctx context.Context, workflow *cyclamendyke.Workflow) (cyclamendyke.IntakeReply, error) {
	deadline := bootTime() + defaultStoreDeadline
	if end, ok := ctx.Deadline(); ok {
		deadline = bootTime() + time.Until(end) - sharedAnswerMargin
	}
	key := string(workflow.Team) + "/" + string(workflow.Queue) + "/" + string(workflow.ID)
	shared := n.writes.DoChan(key, func() (any, error) { return n.writeWorkflow(workflow, deadline) })
	select {
	case result := <-shared:
		return result.Val.(cyclamendyke.IntakeReply), result.Err
	case <-ctx.Done():
		return refuse(cyclamendyke.IntakeUnknown), NewError("store", cyclamendyke.KindUnknown, ctx.Err())
	}
}

const (
	defaultStoreDeadline = 3 * time.Second       // Limits a write whose caller has no deadline.
	sharedAnswerMargin   = 20 * time.Millisecond // A write ends this long before its caller's deadline.
)

// attemptResult is how an attempt to store a workflow ended.
type attemptResult struct {
	path string
	err  error
}

// writeWorkflow carries out the steps of a write until its outcome is known or the deadline has passed.
// Attempts that have not ended then go on, since their end tells whether their path works.
func (n *Node) writeWorkflow(workflow *cyclamendyke.Workflow, deadline time.Duration) (cyclamendyke.IntakeReply, error) {
	w := n.newWrite(workflow.ID, deadline)
	ended := make(chan attemptResult, storepath.MaxAttempts)
	var last attemptResult
	for {
		step := n.nextStep(w)
		switch step.Kind {
		case storepath.StepOwn:
			n.attempt(w, step, pathOwn, ended, func() error { return n.storeByOwnPath(w, step, workflow) })
		case storepath.StepMember:
			n.attempt(w, step, pathMember, ended, func() error { return n.storeByMember(w, step, workflow) })
		case storepath.StepWait:
			select {
			case last = <-ended:
			case <-time.After(step.Until - bootTime()):
			case <-n.ctx.Done():
				return refuse(cyclamendyke.IntakeUnknown), NewError("store", cyclamendyke.KindUnknown, n.ctx.Err())
			}
		case storepath.StepStored:
			n.cfg.Metrics.StoredSubmissions.WithLabelValues(last.path).Inc()
			return cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeAccepted}, nil
		case storepath.StepRefused:
			n.cfg.Metrics.RefusedSubmissions.WithLabelValues(string(step.Reason)).Inc()
			reply := cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeUnavailable, RetryAfter: step.RetryAfter}
			return reply, NewError("store", cyclamendyke.KindUnavailable, cmp.Or(last.err, errNoPath))
		default:
			return refuse(cyclamendyke.IntakeUnknown), NewError("store", cyclamendyke.KindUnknown, last.err)
		}
	}
}

func (n *Node) newWrite(id cyclamendyke.WorkflowID, deadline time.Duration) (w *storepath.Write) {
	members := n.dir.storeCandidates(n.cfg.Settings.Node)
	n.storePaths.update(func(_ time.Duration, paths *storepath.Paths) { w = paths.NewWrite(id, deadline, members) })
	return w
}

func (n *Node) nextStep(w *storepath.Write) (step storepath.Step) {
	n.storePaths.update(func(now time.Duration, _ *storepath.Paths) { step = w.Next(now) })
	return step
}

// attempt carries out one attempt in its own goroutine and passes on its outcome.
func (n *Node) attempt(w *storepath.Write, step storepath.Step, path string, ended chan<- attemptResult, store func() error) {
	n.wg.Go(func() {
		err := store()
		n.storePaths.update(func(now time.Duration, _ *storepath.Paths) { w.Ended(now, step.Attempt, writeOutcome(err)) })
		ended <- attemptResult{path, err}
	})
}

// storeDown reports whether this VM's own path to the store is known to be broken.
func (n *Node) storeDown() bool {
	return n.storePaths.ownState() == storepath.Broken
}

// proceed reports whether an attempt whose path works may send the write.
func (n *Node) proceed(w *storepath.Write, step storepath.Step) (proceed bool) {
	n.storePaths.update(func(time.Duration, *storepath.Paths) { proceed = w.Proceed(step.Attempt) })
	return proceed
}

// storeByOwnPath checks this VM's path to the store and stores a workflow.
func (n *Node) storeByOwnPath(w *storepath.Write, step storepath.Step, workflow *cyclamendyke.Workflow) error {
	if err := n.checkOwnPath(n.ctx); err != nil {
		return err
	}
	if !n.proceed(w, step) {
		return NewError("store", cyclamendyke.KindUnavailable, errAnswered)
	}
	return n.storeAndNotify(n.ctx, workflow)
}

// storeByMember checks that a member reaches the store and asks it to store a workflow.
func (n *Node) storeByMember(w *storepath.Write, step storepath.Step, workflow *cyclamendyke.Workflow) error {
	address := n.dir.memberAddress(step.Member.Name)
	checkCtx, cancelCheck := context.WithTimeout(n.ctx, memberCheckTimeout)
	defer cancelCheck()
	if err := n.peers.CheckStore(checkCtx, address); err != nil {
		return NewError("check", cyclamendyke.KindOf(err), err)
	}
	if !n.proceed(w, step) {
		return NewError("store", cyclamendyke.KindUnavailable, errAnswered)
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
	defer cancel()
	return n.peers.StoreWorkflow(ctx, address, workflow)
}

// The limits of checks.
const (
	memberCheckTimeout = 300 * time.Millisecond // For asking another member whether it reaches the store.
	ownCheckTimeout    = 150 * time.Millisecond // For answering another member.
)

// checkOwnPath makes sure by a call without effect that the store answers, unless it has just answered.
func (n *Node) checkOwnPath(ctx context.Context) error {
	shouldCheck := false
	n.storePaths.update(func(now time.Duration, paths *storepath.Paths) { shouldCheck = paths.ShouldCheck(now) })
	if !shouldCheck {
		return nil
	}
	shared := n.checks.DoChan("", func() (any, error) { return nil, n.callStore() })
	var err error
	select {
	case result := <-shared:
		err = result.Err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return NewError("check", cyclamendyke.KindUnavailable, err)
	}
	return nil
}

// callStore makes a call without effect and returns an error if the store did not answer it. It renews the lease,
// which is the cheapest call, and reads if that has no answer.
func (n *Node) callStore() error {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	if lease := n.session.current(); lease != 0 && callOutcome(n.cfg.Store.KeepAlive(ctx, lease)) == storepath.Answered {
		return nil
	}
	return n.readStore(ctx)
}

// readStore reads a key and returns an error if the store did not answer.
func (n *Node) readStore(ctx context.Context) error {
	_, err := n.cfg.Store.Get(ctx, epochKey)
	if callOutcome(err) == storepath.Answered {
		return nil
	}
	return err
}

// CheckStore returns an error at once unless this VM reaches the store.
func (n *Node) CheckStore(ctx context.Context) error {
	if n.storePaths.ownState() != storepath.Good {
		return NewError("check", cyclamendyke.KindUnavailable, errOwnPathDown)
	}
	ctx, cancel := context.WithTimeout(ctx, ownCheckTimeout)
	defer cancel()
	return n.checkOwnPath(ctx)
}

// StoreWorkflow stores a workflow for a member that cannot reach the store. It asks no further member, and
// refuses at once unless its own path is good, so that the asking member goes on to another.
func (n *Node) StoreWorkflow(ctx context.Context, workflow *cyclamendyke.Workflow) error {
	if n.storePaths.ownState() != storepath.Good {
		return NewError("store", cyclamendyke.KindUnavailable, errOwnPathDown)
	}
	return n.storeAndNotify(ctx, workflow)
}
