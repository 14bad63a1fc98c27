package node

import (
	"context"
	"errors"
	"slices"

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

// maxCancelTries limits how often the cancellation of a workflow begins anew that is stored while its tombstone is written.
const maxCancelTries = 3

// storeCancellation stores the cancellation of a workflow, unless it has ended. It returns KindNotFound if the store holds no such
// workflow and none of the writes sent so far can create it any more.
func (n *Node) storeCancellation(ctx context.Context, id cyclamendyke.WorkflowID) error {
	var err error
	for range maxCancelTries {
		err = n.storeCancellationOnce(ctx, id)
		if !errors.Is(err, errIsStored) {
			return err
		}
	}
	return NewError("cancel", cyclamendyke.KindUnknown, err)
}

func (n *Node) storeCancellationOnce(ctx context.Context, id cyclamendyke.WorkflowID) error {
	if n.storeDown() {
		return NewError("cancel", cyclamendyke.KindUnavailable, errOwnPathDown)
	}
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.recordStoreResult(err)
	for err == nil {
		var current []cyclamendyke.Entry
		_, current, err = n.cfg.Store.Commit(ctx, cyclamendyke.Batch{
			Guards: []cyclamendyke.Guard{{Key: workKey(id), Expected: work.Revision}},
			Puts:   []cyclamendyke.Put{{Key: workKey(id) + cancelSuffix, Value: []byte("{}")}},
		})
		n.recordStoreResult(err)
		if cyclamendyke.KindOf(err) != cyclamendyke.KindConflict {
			return err
		}
		if hasEntry(current, workKey(id)+cancelSuffix) {
			return nil
		}
		work, err = replacedWork(current, work)
	}
	if cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound {
		return n.bury(ctx, id)
	}
	return err
}

// replacedWork returns the entry that has replaced a workflow's since it was read, as when a scheduler claims it, from
// the entries that the store returned with a conflict. The error is KindNotFound if the workflow has been removed.
func replacedWork(current []cyclamendyke.Entry, read cyclamendyke.Entry) (cyclamendyke.Entry, error) {
	for _, entry := range current {
		switch {
		case entry.Key != read.Key || entry.Revision == 0:
		case entry.Revision == read.Revision:
			return entry, NewError("cancel", cyclamendyke.KindUnknown, errConflictWithoutCause)
		default:
			return entry, nil
		}
	}
	return cyclamendyke.Entry{}, NewError("cancel", cyclamendyke.KindNotFound, nil)
}

// errConflictWithoutCause says that the store refused a batch although its conditions hold by the entries returned.
var errConflictWithoutCause = errors.New("the store reports a conflict that its entries do not show")

// hasEntry reports whether a key exists among entries that the store returned.
func hasEntry(entries []cyclamendyke.Entry, key string) bool {
	return slices.ContainsFunc(entries, func(e cyclamendyke.Entry) bool { return e.Key == key && e.Revision != 0 && !e.Deleted })
}
