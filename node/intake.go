package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// The timing of callers' requests.
const (
	answerMargin   = 300 * time.Millisecond // Kept of a caller's deadline for the way back.
	comeBackSoon   = time.Second
	askTimeout     = 700 * time.Millisecond // Of one question to the scheduler.
	defaultMaxBody = 256 << 10
)

// Callers is the side of a node that callers see; it implements the root's Intake.
type Callers struct {
	*Node
}

var _ cyclamendyke.Intake = Callers{}

var errStoreDown = errors.New("the store does not answer this process")

// Submit accepts a workflow once the store holds it.
func (c Callers) Submit(ctx context.Context, call cyclamendyke.IntakeCall, read func(int64) (*cyclamendyke.Workflow, error)) cyclamendyke.IntakeReply {
	a, refused := c.admit(call)
	if refused != "" {
		reply := refuse(refused)
		c.logRequest("submit", call, a, reply, nil)
		return reply
	}
	reply, err := c.accept(ctx, call, a, read)
	c.logRequest("submit", call, a, reply, err)
	return reply
}

func (n *Node) accept(ctx context.Context, call cyclamendyke.IntakeCall, a admitted, read func(int64) (*cyclamendyke.Workflow, error)) (cyclamendyke.IntakeReply, error) {
	if a.id == "" {
		return refuse(cyclamendyke.IntakeNotSupported), nil
	}
	ctx, cancel := untilAnswer(ctx, call)
	defer cancel()
	workflow, err := read(a.limit)
	switch cyclamendyke.KindOf(err) {
	case "":
	case cyclamendyke.KindTooLarge:
		return refuse(cyclamendyke.IntakeTooLarge), err
	case cyclamendyke.KindInvalid:
		return refuse(cyclamendyke.IntakeInvalid), err
	default:
		return refuse(cyclamendyke.IntakeUnavailable), err
	}
	workflow.ID, workflow.Team, workflow.Queue = a.id, a.team, a.queue.Name
	workflow.Accepted = time.Now()
	err = n.storeAnywhere(ctx, workflow)
	switch cyclamendyke.KindOf(err) {
	case "":
		return cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeAccepted}, nil
	case cyclamendyke.KindUnavailable, cyclamendyke.KindLimited:
		return refuse(cyclamendyke.IntakeUnavailable), err
	}
	return refuse(cyclamendyke.IntakeUnknown), err
}

// storeAnywhere stores a workflow, through another member if this one does not reach the store.
//
// It returns KindUnavailable only if no attempt can have taken effect.
func (n *Node) storeAnywhere(ctx context.Context, workflow *cyclamendyke.Workflow) error {
	err := n.storeWork(ctx, workflow)
	if err == nil {
		return nil
	}
	doubt := cyclamendyke.KindOf(err) == cyclamendyke.KindUnknown
	for _, other := range n.dir.helpers(n.cfg.Settings) {
		if ctx.Err() != nil {
			break
		}
		each, cancel := context.WithTimeout(ctx, askTimeout)
		err = n.peers.Store(each, other.Address, workflow)
		cancel()
		if err == nil {
			return nil
		}
		doubt = doubt || cyclamendyke.KindOf(err) == cyclamendyke.KindUnknown
	}
	if doubt {
		return NewError("store", cyclamendyke.KindUnknown, err)
	}
	return NewError("store", cyclamendyke.KindUnavailable, err)
}

// storeWork stores a workflow and tells the scheduler; one that the store holds already counts as stored.
func (n *Node) storeWork(ctx context.Context, workflow *cyclamendyke.Workflow) error {
	if n.storeDown() {
		return NewError("store", cyclamendyke.KindUnavailable, errStoreDown)
	}
	value, err := json.Marshal(workflow)
	if err != nil {
		return NewError("store", cyclamendyke.KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := n.cfg.Store.CompareAndSwap(ctx, workKey(workflow.ID), value, 0, 0)
	n.noteStore(err)
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
		return nil
	}
	if err != nil {
		return err
	}
	n.done.Go(func() { n.tell(member.Submission{Workflow: workflow, Revision: revision}) })
	return nil
}

// tell tells the scheduler of a workflow; the scheduler finds it in the store if this fails.
func (n *Node) tell(submission member.Submission) {
	ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
	defer cancel()
	err := n.onScheduler(
		func() error { return n.Submitted(ctx, submission) },
		func(address string) error { return n.peers.Submitted(ctx, address, submission) },
	)
	if err != nil {
		n.cfg.Requests.Info("the scheduler was not told", "workflow", submission.Workflow.ID, "err", err)
	}
}

// onScheduler makes a call on this process if it is the scheduler, or else on the one that is.
func (n *Node) onScheduler(here func() error, there func(address string) error) error {
	if n.term.Load() != nil {
		return here()
	}
	scheduler := n.dir.view().scheduler
	if scheduler == nil || scheduler.Nonce == n.nonce {
		return NewError("call", member.KindNotScheduler, nil)
	}
	return there(scheduler.Address)
}
