package node

import (
	"context"
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/core/progress"
	"cyclamendyke/io/member"
)

// Query returns a workflow's state or, if the path names only a queue, how many of the queue's
// unfinished workflows have not started any task.
func (i Intake) Query(ctx context.Context, call cyclamendyke.IntakeCall) cyclamendyke.IntakeReply {
	request, refusal := i.admit(call)
	if refusal != "" {
		reply := refuse(refusal)
		i.logRequest("look", call, request, reply, nil)
		return reply
	}
	ctx, cancel := withAnswerDeadline(ctx, call)
	defer cancel()
	if request.id == "" {
		return i.countPending(ctx, request)
	}
	status, err := i.status(ctx, request.id)
	var reply cyclamendyke.IntakeReply
	switch {
	case err == nil:
		reply = cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeFound, State: status.State}
		i.cfg.Metrics.Requests.WithLabelValues("look", string(reply.Result)).Inc()
		return reply
	case cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound:
		reply = refuse(cyclamendyke.IntakeNoWorkflow)
	default:
		reply = i.storePaths.unavailable()
	}
	i.logRequest("look", call, request, reply, err)
	return reply
}

// status asks the scheduler for a workflow's state, or reads it from the store if that fails.
func (n *Node) status(ctx context.Context, id cyclamendyke.WorkflowID) (member.WorkflowStatus, error) {
	var status member.WorkflowStatus
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := n.callScheduler(
		func() (err error) { status, err = n.Status(callCtx, id); return err },
		func(address string) (err error) { status, err = n.peers.Status(callCtx, address, id); return err },
	)
	if err == nil {
		return status, nil
	}
	return n.storedStatus(ctx, id)
}

// storedStatus reads a workflow's state from the store.
func (n *Node) storedStatus(ctx context.Context, id cyclamendyke.WorkflowID) (member.WorkflowStatus, error) {
	if n.storeDown() {
		return member.WorkflowStatus{}, NewError("status", cyclamendyke.KindUnavailable, errOwnPathDown)
	}
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.recordStoreResult(err)
	if cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound {
		return n.storedFinalStatus(ctx, id)
	}
	if err != nil {
		return member.WorkflowStatus{}, err
	}
	var workflow cyclamendyke.Workflow
	if err := decodeWorkflow(work.Value, &workflow); err != nil {
		return member.WorkflowStatus{}, NewError("status", cyclamendyke.KindInvalid, err)
	}
	status := member.WorkflowStatus{State: cyclamendyke.WorkflowQueued, Team: workflow.Team}
	progress, err := n.cfg.Store.Get(ctx, progressKey(id))
	if cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound {
		return status, nil
	}
	if err != nil {
		return status, err
	}
	var record struct {
		State cyclamendyke.WorkflowState `json:"state"` // Set only by earlier versions.
	}
	if err := json.Unmarshal(progress.Value, &record); err != nil {
		return status, NewError("status", cyclamendyke.KindInvalid, err)
	}
	status.State = cyclamendyke.WorkflowRunning
	if record.State.IsFinal() {
		status.State = record.State
	}
	return status, nil
}

// storedFinalStatus reads the state of a workflow that has ended. It must be read after the workflow
// was not found, since a commit moves the one to the other.
func (n *Node) storedFinalStatus(ctx context.Context, id cyclamendyke.WorkflowID) (member.WorkflowStatus, error) {
	done, err := n.cfg.Store.Get(ctx, doneKey(id))
	n.recordStoreResult(err)
	if err != nil {
		return member.WorkflowStatus{}, err
	}
	var record progress.Final
	if err := json.Unmarshal(done.Value, &record); err != nil {
		return member.WorkflowStatus{}, NewError("status", cyclamendyke.KindInvalid, err)
	}
	if record.IsTombstone {
		return member.WorkflowStatus{}, NewError("status", cyclamendyke.KindNotFound, nil)
	}
	return member.WorkflowStatus{State: record.State, Team: record.Team}, nil
}

func (n *Node) countPending(ctx context.Context, request admittedRequest) cyclamendyke.IntakeReply {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var pending int
	err := n.callScheduler(
		func() (err error) { pending, err = n.Pending(callCtx, request.queue.Name); return err },
		func(address string) (err error) {
			pending, err = n.peers.Pending(callCtx, address, request.queue.Name)
			return err
		},
	)
	if err != nil {
		return refuse(cyclamendyke.IntakeUnavailable)
	}
	return cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeCounted, Pending: pending}
}
