package node

import (
	"context"
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// Look returns a workflow's state, or the number of a queue's workflows that have not started.
func (c Callers) Look(ctx context.Context, call cyclamendyke.IntakeCall) cyclamendyke.IntakeReply {
	request, refusal := c.admit(call)
	if refusal != "" {
		return refuse(refusal)
	}
	ctx, cancel := withAnswerDeadline(ctx, call)
	defer cancel()
	if request.id == "" {
		return c.countPending(ctx, request)
	}
	state, err := c.status(ctx, request.id)
	var reply cyclamendyke.IntakeReply
	switch {
	case err == nil:
		reply = cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeFound, State: state.State}
		c.cfg.Metrics.Requests.WithLabelValues("look", string(reply.Result)).Inc()
		return reply
	case cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound:
		reply = refuse(cyclamendyke.IntakeNoWorkflow)
	default:
		reply = refuse(cyclamendyke.IntakeUnavailable)
	}
	c.logRequest("look", call, request, reply, err)
	return reply
}

// status asks the scheduler for a workflow's state, or reads it from the store if that fails.
func (n *Node) status(ctx context.Context, id cyclamendyke.WorkflowID) (member.State, error) {
	var state member.State
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := n.callScheduler(
		func() (err error) { state, err = n.Status(callCtx, id); return err },
		func(address string) (err error) { state, err = n.peers.Status(callCtx, address, id); return err },
	)
	if err == nil {
		return state, nil
	}
	return n.storedStatus(ctx, id)
}

// storedStatus reads a workflow's state from the store.
func (n *Node) storedStatus(ctx context.Context, id cyclamendyke.WorkflowID) (member.State, error) {
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.recordStoreResult(err)
	if err != nil {
		return member.State{}, err
	}
	var workflow cyclamendyke.Workflow
	if err := json.Unmarshal(work.Value, &workflow); err != nil {
		return member.State{}, NewError("status", cyclamendyke.KindInvalid, err)
	}
	state := member.State{State: cyclamendyke.WorkflowQueued, Team: workflow.Team}
	progress, err := n.cfg.Store.Get(ctx, progressKey(id))
	if cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound {
		return state, nil
	}
	if err != nil {
		return state, err
	}
	var record struct {
		State cyclamendyke.WorkflowState `json:"state"`
	}
	if err := json.Unmarshal(progress.Value, &record); err != nil {
		return state, NewError("status", cyclamendyke.KindInvalid, err)
	}
	state.State = cyclamendyke.WorkflowRunning
	if record.State.IsFinal() {
		state.State = record.State
	}
	return state, nil
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
