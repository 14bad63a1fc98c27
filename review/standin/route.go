package main

import (
	"fmt"
	"time"
)

func init() { cases["route"] = removedRoute }

// The timing of the case.
const (
	rollGap     = time.Second      // From the start of a process until the next one is stopped.
	calmTime    = 4 * time.Second  // Calm that comes before the time in which a job has nothing running.
	idleAllowed = 3 * time.Second  // How long a job may have nothing running then.
	watchTime   = 40 * time.Second // More than twice what a new scheduler may wait for the leases of its predecessor.
)

// watchedJob is a job of two steps.
type watchedJob struct {
	id          string
	route       route
	idleSince   time.Time
	longestIdle time.Duration
}

// removedRoute removes a route while a job that it has accepted runs, and then restarts the processes in turn. A job
// on another route goes on beside it.
func removedRoute(e env) error {
	f, err := newFleet(e.record, 4*time.Millisecond, "za", "zb", "za", "zb")
	defer f.stop()
	if err != nil {
		return err
	}
	w := newWatcher()
	f.addMinions(4, capacity{CPU: 16000, Memory: 32768}, w.started, w.ended)
	kept := route{name: "r-kept", prefix: "/kept/", service: service, priority: 1, maxAttempts: 4}
	removed := route{name: "r-removed", prefix: "/removed/", service: service, priority: 1, maxAttempts: 4}
	f.configure(1, kept, removed)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	twoSteps := job{Spec: "15000 1000", Steps: []step{
		{Count: 2, CPU: 1000, Memory: 256, Estimate: 15000},
		{Count: 2, CPU: 1000, Memory: 256, Estimate: 1000, After: []int{0}},
	}}
	jobs := []*watchedJob{{id: newID(), route: kept}, {id: newID(), route: removed}}
	for _, j := range jobs {
		if status, text := f.ask(f.processes[0], "POST", j.route.prefix+j.id, twoSteps); status != 200 {
			return fmt.Errorf("job was not accepted: %d %s", status, text)
		}
		if err := await(5*time.Second, "a job to start", func() bool { return w.isRunning(j.id + ".0.0.0") }); err != nil {
			return err
		}
	}
	f.configure(2, kept)
	time.Sleep(3 * time.Second)
	if e.trouble {
		if err := f.restartInTurn(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	e.record.log("all processes are ready; nothing is disturbed from now on")
	watchJobs(w, jobs)
	f.showJobs(jobs, kept, removed)
	for _, j := range jobs {
		if j.longestIdle > idleAllowed {
			return errBroken(fmt.Sprintf("job %s had nothing running for %.1f s while the turn of its second step had come", j.id, j.longestIdle.Seconds()))
		}
	}
	return nil
}

// restartInTurn stops each process with SIGTERM and starts it again.
func (f *fleet) restartInTurn() error {
	for _, p := range f.processes {
		p.terminate()
		time.Sleep(restartDelay)
		if err := p.start(false); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	return nil
}

// watchJobs notes for how long each job has nothing running after a time of calm, until all of them are done.
func watchJobs(w *watcher, jobs []*watchedJob) {
	calmFrom := time.Now().Add(calmTime)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			switch {
			case !j.isIdle(w) || time.Now().Before(calmFrom):
				j.idleSince = time.Time{}
			case j.idleSince.IsZero():
				j.idleSince = time.Now()
			default:
				j.longestIdle = max(j.longestIdle, time.Since(j.idleSince))
			}
		}
	}
}

// isIdle reports whether the first step of the job is done, and nothing of the second has run.
func (j *watchedJob) isIdle(w *watcher) bool {
	for _, task := range []string{".0.0.0", ".0.0.1"} {
		if last, ok := w.last(j.id + task); !ok || last.how != "done" {
			return false
		}
	}
	for _, task := range []string{".0.1.0", ".0.1.1"} {
		if last, ok := w.last(j.id + task); ok && (last.ended.IsZero() || last.how == "done") {
			return false
		}
	}
	return true
}

// showJobs adds the route again and records what becomes of the jobs; the verdict does not depend on it.
func (f *fleet) showJobs(jobs []*watchedJob, routes ...route) {
	for _, j := range jobs {
		f.record.log("job %s on %s: at most %.1f s with nothing running while the turn of its second step had come", j.id, j.route.name, j.longestIdle.Seconds())
	}
	f.configure(3, routes...)
	time.Sleep(4 * time.Second)
	for _, j := range jobs {
		f.ask(f.processes[0], "GET", j.route.prefix+j.id, nil)
	}
}
