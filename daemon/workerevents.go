package daemon

import (
	"errors"
	"time"

	"cyclamendyke"
)

// claimed takes in the complete listing of a worker that has granted its session, and reports whether there was a scheduler for it.
func (c *controller) claimed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool {
	return c.granted(sent, claim, report, cyclamendyke.Scheduler.Claimed)
}

// renewed takes in the changes of a worker that has extended its session, and reports whether there was a scheduler for them.
func (c *controller) renewed(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport) bool {
	return c.granted(sent, claim, report, cyclamendyke.Scheduler.Renewed)
}

// takeIn is the scheduler's method for one kind of report.
type takeIn func(s cyclamendyke.Scheduler, now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command

// granted counts a granted session and hands the report to the scheduler of the claim's term, if there is one.
func (c *controller) granted(sent time.Time, claim cyclamendyke.Claim, report cyclamendyke.WorkerReport, take takeIn) bool {
	taken := false
	c.ask(func(now time.Time) {
		c.runRole(c.cfg.Role.SessionGranted(now, sent, report.Worker, claim))
		if c.scheduler != nil && c.epoch == claim.Epoch {
			taken = true
			c.run(take(c.scheduler, now, report, sent))
		}
	})
	return taken
}

// refused takes in a worker's refusal of the session.
func (c *controller) refused(worker cyclamendyke.WorkerName, err error) {
	var refusal *cyclamendyke.Error
	if !errors.As(err, &refusal) {
		return
	}
	c.ask(func(now time.Time) {
		c.withRole(c.cfg.Role.SessionRefused(now, worker, refusal.Kind, refusal.Fence))
	})
}

// unreachable takes in that a worker answers on no connection.
func (c *controller) unreachable(worker cyclamendyke.WorkerName) {
	c.ask(func(now time.Time) {
		if c.scheduler != nil {
			c.run(c.scheduler.Unreachable(now, worker))
		}
	})
}

// startAnswered takes in the answer to a start.
func (c *controller) startAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error) {
	c.post(func(now time.Time) {
		if c.scheduler != nil {
			c.run(c.scheduler.StartAnswered(now, worker, task, err))
		}
	})
}

// stopAnswered takes in the answer to a stop.
func (c *controller) stopAnswered(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) {
	c.post(func(now time.Time) {
		if c.scheduler != nil {
			c.run(c.scheduler.StopAnswered(now, worker, task, mode, err))
		}
	})
}
