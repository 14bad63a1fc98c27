package daemon

import (
	"errors"
	"time"

	"cyclamendyke"
)

// onClaimed handles the full listing of a worker that granted a session, and reports whether a
// scheduler processed it.
func (c *controller) onClaimed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool {
	return c.handleGrant(sent, claim, report, cyclamendyke.Scheduler.Claimed)
}

// onRenewed handles the changes reported by a worker that extended its session, and reports whether
// a scheduler processed them.
func (c *controller) onRenewed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool {
	return c.handleGrant(sent, claim, report, cyclamendyke.Scheduler.Renewed)
}

// reportHandler is the scheduler method that handles one kind of report.
type reportHandler func(s cyclamendyke.Scheduler, now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command

// handleGrant passes a granted session to the role, and the report to the scheduler of the claim's
// term if there is one.
func (c *controller) handleGrant(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport, handle reportHandler) bool {
	handled := false
	c.postAndWait(func(now time.Time) {
		c.runRoleCommands(c.cfg.Role.SessionGranted(now, sent, report.Worker, claim))
		if c.scheduler != nil && c.epoch == claim.Epoch {
			handled = true
			c.runCommands(handle(c.scheduler, now, report, sent))
		}
	})
	return handled
}

// onRefused handles a worker's refusal of a session.
func (c *controller) onRefused(worker cyclamendyke.WorkerName, err error) {
	var workerErr *cyclamendyke.Error
	if !errors.As(err, &workerErr) {
		return
	}
	c.postAndWait(func(now time.Time) {
		c.applyRoleUpdate(c.cfg.Role.SessionRefused(now, worker, workerErr.Kind, workerErr.Fence))
	})
}

// onUnreachable handles a worker that answers neither on its old nor on a fresh connection.
func (c *controller) onUnreachable(worker cyclamendyke.WorkerName) {
	c.postAndWait(func(now time.Time) {
		if c.scheduler != nil {
			c.runCommands(c.scheduler.Unreachable(now, worker))
		}
	})
}

// onStartAnswered handles the result of a start.
func (c *controller) onStartAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error) {
	c.post(func(now time.Time) {
		if c.scheduler != nil {
			c.runCommands(c.scheduler.StartAnswered(now, worker, task, err))
		}
	})
}

// onStopAnswered handles the result of a stop.
func (c *controller) onStopAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) {
	c.post(func(now time.Time) {
		if c.scheduler != nil {
			c.runCommands(c.scheduler.StopAnswered(now, worker, task, mode, err))
		}
	})
}
