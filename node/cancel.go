package node

import (
	"context"

	"cyclamendyke"
)

// Cancel ends a workflow and answers once that is kept.
func (c Callers) Cancel(ctx context.Context, call cyclamendyke.IntakeCall) cyclamendyke.IntakeReply {
	a, refused := c.admit(call)
	if refused == "" && a.id == "" {
		refused = cyclamendyke.IntakeNotSupported
	}
	if refused != "" {
		return refuse(refused)
	}
	ctx, cancel := untilAnswer(ctx, call)
	defer cancel()
	err := c.cancelWork(ctx, a.id)
	reply := cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeCancelled}
	switch cyclamendyke.KindOf(err) {
	case "":
	case cyclamendyke.KindNotFound:
		reply = refuse(cyclamendyke.IntakeGone)
	case cyclamendyke.KindUnavailable, cyclamendyke.KindLimited:
		reply = refuse(cyclamendyke.IntakeUnavailable)
	default:
		reply = refuse(cyclamendyke.IntakeUnknown)
	}
	c.logRequest("cancel", call, a, reply, err)
	return reply
}

// cancelWork has the scheduler end a workflow, or leaves that to it in the store.
func (n *Node) cancelWork(ctx context.Context, id cyclamendyke.WorkflowID) error {
	each, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := n.onScheduler(
		func() error { return n.Cancel(each, id) },
		func(address string) error { return n.peers.Cancel(each, address, id) },
	)
	if err == nil {
		return nil
	}
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.noteStore(err)
	if err != nil {
		return err
	}
	_, _, err = n.cfg.Store.Commit(ctx, cyclamendyke.Batch{
		Guards: []cyclamendyke.Guard{{Key: work.Key, Expected: work.Revision}},
		Puts:   []cyclamendyke.Put{{Key: workKey(id) + cancelSuffix, Value: []byte("{}")}},
	})
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
		return nil // Somebody else asked for the same.
	}
	return err
}
