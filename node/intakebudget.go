package node

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/core/storepath"
)

var (
	errNoMemory     = errors.New("the unfinished work takes all the memory that is there for it")
	errNeverHasRoom = errors.New("the workflow takes more memory than is there for all")
)

// refuseBeyondMemory returns an error, with the reply to the caller, if there is no memory for a workflow that is not stored yet.
func (n *Node) refuseBeyondMemory(ctx context.Context, workflow *cyclamendyke.Workflow) (cyclamendyke.IntakeReply, error) {
	bytes := backlog.Footprint(workflow)
	retryAfter, ok := n.dir.budget.Take(bytes, len(n.dir.memberNames()), bootTime())
	if ok {
		return cyclamendyke.IntakeReply{}, nil
	}
	isStored, err := n.isStored(ctx, workflow.ID)
	switch {
	case isStored:
		return cyclamendyke.IntakeReply{}, nil
	case err != nil:
		return n.storePaths.refusal(workflow.ID), NewError("store", cyclamendyke.KindUnavailable, err)
	case n.isInDoubt(workflow.ID):
		return refuse(cyclamendyke.IntakeUnknown), NewError("store", cyclamendyke.KindUnknown, errNoMemory)
	case !n.dir.budget.Fits(bytes):
		return refuse(cyclamendyke.IntakeTooLarge), NewError("store", cyclamendyke.KindTooLarge, errNeverHasRoom)
	}
	n.cfg.Metrics.RefusedSubmissions.WithLabelValues(refusedForMemory).Inc()
	reply := refuse(cyclamendyke.IntakeLimited)
	reply.RetryAfter += retryAfter
	return reply, NewError("store", cyclamendyke.KindLimited, errNoMemory)
}

// The reasons of refused submissions in the metrics.
const (
	refusedForMemory  = "memory"
	refusedForCallers = "callers"
)

// refuseForCallers returns the reply to a submission that was not read or decoded, since callers hold too much or it came too slowly.
func (n *Node) refuseForCallers(id cyclamendyke.WorkflowID) cyclamendyke.IntakeReply {
	if n.isInDoubt(id) {
		return refuse(cyclamendyke.IntakeUnknown)
	}
	n.cfg.Metrics.RefusedSubmissions.WithLabelValues(refusedForCallers).Inc()
	return refuse(cyclamendyke.IntakeLimited)
}

// isStored reports whether the store holds a workflow, or the final state of one, from an earlier attempt.
func (n *Node) isStored(ctx context.Context, id cyclamendyke.WorkflowID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, key := range []string{workKey(id), doneKey(id)} {
		entry, err := n.cfg.Store.Get(ctx, key)
		if err == nil {
			return !isTombstone(entry), nil
		}
		if cyclamendyke.KindOf(err) != cyclamendyke.KindNotFound {
			return false, err
		}
	}
	return false, nil
}

// isInDoubt reports whether an earlier attempt to store a workflow may yet be carried out.
func (n *Node) isInDoubt(id cyclamendyke.WorkflowID) (isInDoubt bool) {
	n.storePaths.update(func(now time.Duration, paths *storepath.Paths) { isInDoubt = paths.InDoubt(now, id) })
	return isInDoubt
}
