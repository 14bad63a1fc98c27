package node

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// The limits of callers' requests.
const (
	answerMargin        = 300 * time.Millisecond // Part of a caller's deadline reserved for sending the answer.
	retryAfter          = time.Second            // Mean time that a caller should wait after a temporary refusal.
	peerCallTimeout     = 700 * time.Millisecond // For one call to another member.
	defaultMaxBodyBytes = 256 << 10
)

// Intake handles callers' requests on a node; it implements cyclamendyke.Intake.
type Intake struct {
	*Node
}

var _ cyclamendyke.Intake = Intake{}

// Submit accepts a workflow once the store holds it.
func (i Intake) Submit(ctx context.Context, call cyclamendyke.IntakeCall, read func(int64) (*cyclamendyke.Workflow, error)) cyclamendyke.IntakeReply {
	asOf := i.confirmed.seenRevision()
	request, refusal := i.admit(call)
	if refusal != "" {
		reply := refuse(refusal)
		i.logRequest("submit", call, request, reply, nil)
		return reply
	}
	start := bootTime()
	reply, err := i.accept(ctx, call, request, asOf, read)
	i.cfg.Metrics.SubmitSeconds.WithLabelValues(string(reply.Result)).Observe((bootTime() - start).Seconds())
	i.logRequest("submit", call, request, reply, err)
	return reply
}

// accept reads a request's workflow and stores it. asOf is the store's revision that was known when the request arrived.
func (n *Node) accept(ctx context.Context, call cyclamendyke.IntakeCall, request admittedRequest, asOf cyclamendyke.Revision, read func(int64) (*cyclamendyke.Workflow, error)) (cyclamendyke.IntakeReply, error) {
	if request.id == "" {
		return refuse(cyclamendyke.IntakeNotSupported), nil
	}
	ctx, cancel := withAnswerDeadline(ctx, call)
	defer cancel()
	workflow, err := read(request.maxBodyBytes)
	switch cyclamendyke.KindOf(err) {
	case "":
	case cyclamendyke.KindTooLarge:
		return refuse(cyclamendyke.IntakeTooLarge), err
	case cyclamendyke.KindInvalid:
		return refuse(cyclamendyke.IntakeInvalid), err
	case cyclamendyke.KindLimited:
		return n.refuseForCallers(request.id), err
	default:
		return n.storePaths.refusal(request.id), err
	}
	workflow.ID, workflow.Team, workflow.Queue = request.id, request.team, request.queue.Name
	workflow.AcceptedAt, workflow.QueueSettings, workflow.AsOf = time.Now(), request.queue.Settings(), asOf
	if reply, err := n.refuseBeyondMemory(ctx, workflow); err != nil {
		return reply, err
	}
	return n.storeWorkflow(ctx, workflow)
}

// storeAndNotify stores a workflow and notifies the scheduler. A workflow that is already in the store, or has ended, counts as
// stored. The error is KindConflict if the workflow was cancelled meanwhile and nothing of it can be stored any more.
func (n *Node) storeAndNotify(ctx context.Context, workflow *cyclamendyke.Workflow) error {
	stored := *workflow // Other attempts to store it may go on.
	stored.AfterEpoch, stored.AsOf = n.reservedAfter(), 0
	value, err := encodeWorkflow(&stored)
	if err != nil {
		return NewError("store", cyclamendyke.KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, current, err := n.createWork(ctx, workflow, value)
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict && !errors.Is(err, errCancelled) {
		n.notifyOfEarlierAttempt(workflow.ID, current)
		return nil
	}
	if err != nil {
		return err
	}
	n.wg.Go(func() { n.notifyScheduler(member.Submission{Workflow: &stored, Revision: revision}) })
	return nil
}

// maxCreateTries limits the batches that create one workflow, each after a conflict with a tombstone.
const maxCreateTries = 3

var errCancelled = errors.New("cancelled before it was stored")

// createWork writes the entry of a workflow unless one exists, or a final state. It replaces a tombstone that the VM knew of when
// the workflow arrived: that one is of an earlier workflow. One that came later may be of this workflow, which then is not stored.
func (n *Node) createWork(ctx context.Context, workflow *cyclamendyke.Workflow, value []byte) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	batch := cyclamendyke.Batch{
		Puts:   []cyclamendyke.Put{{Key: workKey(workflow.ID), Value: value}},
		Guards: []cyclamendyke.Guard{{Key: doneKey(workflow.ID)}},
	}
	for range maxCreateTries {
		revision, current, err := n.cfg.Store.Commit(ctx, batch)
		n.recordStoreResult(err)
		n.confirmed.see(revision)
		if cyclamendyke.KindOf(err) != cyclamendyke.KindConflict || hasEntry(current, workKey(workflow.ID)) {
			return revision, current, err
		}
		final, isFinal := finalEntry(current, workflow.ID)
		n.confirmed.see(final.Revision)
		switch {
		case !isFinal && len(batch.Deletes) == 0:
			return 0, nil, NewError("store", cyclamendyke.KindUnknown, errConflictWithoutCause)
		case !isFinal: // The tombstone has expired.
			batch.Guards, batch.Deletes = []cyclamendyke.Guard{{Key: doneKey(workflow.ID)}}, nil
		case !isTombstone(final):
			return 0, current, err
		case final.Revision > workflow.AsOf:
			return 0, nil, NewError("store", cyclamendyke.KindConflict, errCancelled)
		default:
			batch.Guards, batch.Deletes = nil, []cyclamendyke.Guard{{Key: doneKey(workflow.ID), Expected: final.Revision}}
		}
	}
	return 0, nil, NewError("store", cyclamendyke.KindUnknown, errConflictWithoutCause)
}

// notifyOfEarlierAttempt announces a workflow that an attempt without an answer has stored, since that attempt
// could not announce it. The entries are those that the store returned with the conflict.
func (n *Node) notifyOfEarlierAttempt(id cyclamendyke.WorkflowID, entries []cyclamendyke.Entry) {
	submission, found := n.findWorkflow(entries, id)
	if found {
		n.wg.Go(func() { n.notifyScheduler(submission) })
	}
}

// findWorkflow returns a workflow that is among entries of the store.
func (n *Node) findWorkflow(entries []cyclamendyke.Entry, id cyclamendyke.WorkflowID) (member.Submission, bool) {
	for _, entry := range entries {
		if entry.Key != workKey(id) || entry.Revision == 0 || entry.Deleted {
			continue
		}
		var stored cyclamendyke.Workflow
		if err := decodeWorkflow(entry.Value, &stored); err != nil {
			n.cfg.Log.Error("cannot decode workflow", "workflow", id, "revision", entry.Revision, "err", err)
			return member.Submission{}, false
		}
		return member.Submission{Workflow: &stored, Revision: entry.Revision}, true
	}
	return member.Submission{}, false
}

// notifyScheduler announces a stored workflow; if this fails, the scheduler finds it in the store.
func (n *Node) notifyScheduler(submission member.Submission) {
	ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
	defer cancel()
	err := n.reach.observe(n.dir.view().schedulerEpoch(), func() error {
		return n.callScheduler(
			func() error { return n.NotifySubmitted(ctx, submission) },
			func(address string) error { return n.peers.NotifySubmitted(ctx, address, submission) },
		)
	})
	if err != nil {
		n.cfg.RequestLog.Info("cannot notify scheduler", "workflow", submission.Workflow.ID, "err", err)
	}
}

// callScheduler calls local if this process is the scheduler, or remote with the scheduler's address.
func (n *Node) callScheduler(local func() error, remote func(address string) error) error {
	if n.term.Load() != nil {
		return local()
	}
	scheduler := n.dir.view().scheduler
	if scheduler == nil || scheduler.Nonce == n.nonce {
		return NewError("call", member.KindNotScheduler, nil)
	}
	return remote(scheduler.Address)
}
