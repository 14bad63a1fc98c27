package node

import (
	"context"
	"slices"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// claimReserved makes the store say that a workflow which is reserved for a later epoch may be started by this one,
// and then passes it to the scheduler. An entry VM reserved it because it did not reach this process.
func (t *term) claimReserved(submission member.Submission) {
	id := submission.Workflow.ID
	if t.claiming[id] {
		return
	}
	t.claiming[id] = true
	t.node.cfg.Log.Info("claiming reserved work", "epoch", t.epoch, "workflow", id)
	t.wg.Go(func() {
		claimed, found := t.removeReservation(submission)
		t.post(func() { t.reservationRemoved(id, claimed, found) })
	})
}

// reservationRemoved passes a claimed workflow to the scheduler, unless it has gone, and applies the cancellations
// that came meanwhile.
func (t *term) reservationRemoved(id cyclamendyke.WorkflowID, claimed member.Submission, found bool) {
	delete(t.claiming, id)
	if found {
		t.submit(claimed)
	}
	var cancellations []cyclamendyke.Entry
	t.heldCancellations = slices.DeleteFunc(t.heldCancellations, func(entry cyclamendyke.Entry) bool {
		cancelled, _ := parseWorkKey(entry.Key)
		if cancelled == id {
			cancellations = append(cancellations, entry)
		}
		return cancelled == id
	})
	t.cancelWorkflows(cancellations)
}

// removeReservation stores a workflow without its reservation while this process is the scheduler by the store's
// account. It returns false if the workflow has gone or the term has ended.
func (t *term) removeReservation(submission member.Submission) (member.Submission, bool) {
	for t.ctx.Err() == nil {
		workflow := *submission.Workflow
		if workflow.AfterEpoch < t.epoch {
			return submission, true // An attempt without an answer has been carried out.
		}
		workflow.AfterEpoch = 0
		revision, current, err := t.storeClaimed(&workflow, submission.Revision)
		switch cyclamendyke.KindOf(err) {
		case "":
			return member.Submission{Workflow: &workflow, Revision: revision}, true
		case cyclamendyke.KindConflict:
			stored, ok := t.node.findWorkflow(current, workflow.ID)
			if !ok {
				return submission, false
			}
			if stored.Revision == submission.Revision {
				sleep(t.ctx, retryDelay(err)) // The epoch has changed, of which the process will hear.
			}
			submission = stored
		default:
			sleep(t.ctx, retryDelay(err))
		}
	}
	return submission, false
}

// storeClaimed replaces a stored workflow on the condition that no later epoch has begun.
func (t *term) storeClaimed(workflow *cyclamendyke.Workflow, expected cyclamendyke.Revision) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	value, err := encodeWorkflow(workflow)
	if err != nil {
		return 0, nil, NewError("claim", cyclamendyke.KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	revision, current, err := t.node.cfg.Store.Commit(ctx, cyclamendyke.Batch{
		Puts:   []cyclamendyke.Put{{Key: workKey(workflow.ID), Value: value, Expected: expected}},
		Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}},
	})
	t.node.recordStoreResult(err)
	return revision, current, err
}
