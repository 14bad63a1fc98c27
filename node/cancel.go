package node

import (
	"context"

	"cyclamendyke"
)

// Cancel ends a workflow and answers once the cancellation is stored.
func (i Intake) Cancel(ctx context.Context, call cyclamendyke.IntakeCall) cyclamendyke.IntakeReply {
	request, refusal := i.admit(call)
	if refusal == "" && request.id == "" {
		refusal = cyclamendyke.IntakeNotSupported
	}
	if refusal != "" {
		reply := refuse(refusal)
		i.logRequest("cancel", call, request, reply, nil)
		return reply
	}
	ctx, cancel := withAnswerDeadline(ctx, call)
	defer cancel()
	err := i.cancelWorkflow(ctx, request.id)
	reply := cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeCancelled}
	switch cyclamendyke.KindOf(err) {
	case "":
	case cyclamendyke.KindNotFound:
		reply = refuse(cyclamendyke.IntakeNoWorkflow)
	case cyclamendyke.KindUnavailable, cyclamendyke.KindLimited:
		reply = i.storePaths.unavailable()
	default:
		reply = refuse(cyclamendyke.IntakeUnknown)
	}
	i.logRequest("cancel", call, request, reply, err)
	return reply
}

// cancelWorkflow asks the scheduler to cancel a workflow. If that fails, it stores a cancellation,
// which the scheduler finds in the store.
func (n *Node) cancelWorkflow(ctx context.Context, id cyclamendyke.WorkflowID) error {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := n.callScheduler(
		func() error { return n.Cancel(callCtx, id) },
		func(address string) error { return n.peers.Cancel(callCtx, address, id) },
	)
	if err == nil {
		return nil
	}
	mayBeCancelled := cyclamendyke.KindOf(err) == cyclamendyke.KindUnknown
	err = n.storeCancellation(ctx, id)
	if mayBeCancelled && (cyclamendyke.KindOf(err) == cyclamendyke.KindUnavailable || cyclamendyke.KindOf(err) == cyclamendyke.KindLimited) {
		return NewError("cancel", cyclamendyke.KindUnknown, err)
	}
	return err
}

// storeCancellation stores the cancellation of a workflow, unless it has ended.
func (n *Node) storeCancellation(ctx context.Context, id cyclamendyke.WorkflowID) error {
	if n.storeDown() {
		return NewError("cancel", cyclamendyke.KindUnavailable, errOwnPathDown)
	}
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.recordStoreResult(err)
	if cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound {
		_, err = n.storedFinalStatus(ctx, id)
		return err
	}
	if err != nil {
		return err
	}
	_, _, err = n.cfg.Store.Commit(ctx, cyclamendyke.Batch{
		Guards: []cyclamendyke.Guard{{Key: work.Key, Expected: work.Revision}},
		Puts:   []cyclamendyke.Put{{Key: workKey(id) + cancelSuffix, Value: []byte("{}")}},
	})
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
		return nil // A cancellation is already stored, or the workflow has since been removed.
	}
	return err
}
