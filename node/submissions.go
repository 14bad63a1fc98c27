package node

import (
	"cmp"
	"slices"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// submitWorkflows submits the workflows among entries in the order in which they were stored.
func (t *term) submitWorkflows(entries []cyclamendyke.Entry) {
	var submissions []member.Submission
	for _, entry := range entries {
		id, isCancellation := parseWorkKey(entry.Key)
		if isCancellation || entry.Deleted {
			continue
		}
		var workflow cyclamendyke.Workflow
		if err := decodeWorkflow(entry.Value, &workflow); err != nil {
			t.node.cfg.Log.Error("cannot decode workflow", "workflow", id, "revision", entry.Revision, "err", err)
			continue
		}
		submissions = append(submissions, member.Submission{Workflow: &workflow, Revision: entry.Revision})
	}
	slices.SortFunc(submissions, func(a, b member.Submission) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, submission := range submissions {
		t.submit(submission)
	}
}

// submit passes a stored workflow to the scheduler, unless it is reserved for a later one. While the lease in the store may have expired, it
// holds one that was stored during this term, since a successor would start that at once.
func (t *term) submit(submission member.Submission) {
	if submission.Workflow.AfterEpoch >= t.epoch {
		t.claimReserved(submission)
		return
	}
	if submission.Revision > t.election.revision && !t.leaseValid() {
		if len(t.heldSubmissions) == 0 {
			t.node.cfg.Log.Info("holding new work until the lease is renewed", "epoch", t.epoch)
		}
		t.heldSubmissions = append(t.heldSubmissions, submission)
		return
	}
	t.sched.Submit(submission.Workflow, submission.Revision)
}

// isHeld reports whether a stored workflow is not passed to the scheduler yet.
func (t *term) isHeld(id cyclamendyke.WorkflowID) bool {
	return t.claiming[id] || slices.ContainsFunc(t.heldSubmissions, func(s member.Submission) bool { return s.Workflow.ID == id })
}

// submitHeld submits the held workflows, and cancels those that were cancelled meanwhile, once the lease is
// certainly valid.
func (t *term) submitHeld() {
	if len(t.heldSubmissions) == 0 || !t.leaseValid() {
		return
	}
	t.node.cfg.Log.Info("submitting held work", "epoch", t.epoch, "count", len(t.heldSubmissions))
	submissions, cancellations := t.heldSubmissions, t.heldCancellations
	t.heldSubmissions, t.heldCancellations = nil, nil
	for _, submission := range submissions {
		t.submit(submission)
	}
	t.cancelWorkflows(cancellations)
}
