package node

import (
	"context"
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// Look returns a workflow's state, or how many of a queue's workflows have not begun.
func (c Callers) Look(ctx context.Context, call cyclamendyke.IntakeCall) cyclamendyke.IntakeReply {
	a, refused := c.admit(call)
	if refused != "" {
		return refuse(refused)
	}
	ctx, cancel := untilAnswer(ctx, call)
	defer cancel()
	if a.id == "" {
		return c.count(ctx, a)
	}
	state, err := c.status(ctx, a.id)
	var reply cyclamendyke.IntakeReply
	switch {
	case err == nil:
		reply = cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeFound, State: state.State}
		c.cfg.Metrics.Requests.WithLabelValues("look", string(reply.Result)).Inc()
		return reply
	case cyclamendyke.KindOf(err) == cyclamendyke.KindNotFound:
		reply = refuse(cyclamendyke.IntakeGone)
	default:
		reply = refuse(cyclamendyke.IntakeUnavailable)
	}
	c.logRequest("look", call, a, reply, err)
	return reply
}

// status asks the scheduler and, if it does not know or answer, the store.
func (n *Node) status(ctx context.Context, id cyclamendyke.WorkflowID) (member.State, error) {
	var state member.State
	each, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := n.onScheduler(
		func() (err error) { state, err = n.Status(each, id); return err },
		func(address string) (err error) { state, err = n.peers.Status(each, address, id); return err },
	)
	if err == nil {
		return state, nil
	}
	return n.storedStatus(ctx, id)
}

// storedStatus reads a workflow's state from the store.
func (n *Node) storedStatus(ctx context.Context, id cyclamendyke.WorkflowID) (member.State, error) {
	work, err := n.cfg.Store.Get(ctx, workKey(id))
	n.noteStore(err)
	if err != nil {
		return member.State{}, err
	}
	var spec cyclamendyke.Workflow
	if err := json.Unmarshal(work.Value, &spec); err != nil {
		return member.State{}, NewError("status", cyclamendyke.KindInvalid, err)
	}
	state := member.State{State: cyclamendyke.WorkflowQueued, Team: spec.Team}
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

func (n *Node) count(ctx context.Context, a admitted) cyclamendyke.IntakeReply {
	each, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var pending int
	err := n.onScheduler(
		func() (err error) { pending, err = n.Pending(each, a.queue.Name); return err },
		func(address string) (err error) {
			pending, err = n.peers.Pending(each, address, a.queue.Name)
			return err
		},
	)
	if err != nil {
		return refuse(cyclamendyke.IntakeUnavailable)
	}
	return cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeCounted, Pending: pending}
}
