package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancel"] = cancelWhileClaimed }

// The disturbance and the load of the case.
const (
	cancelRounds    = 8
	cancelEvery     = 5 * time.Second         // From the end of a round to the next one.
	freezeTime      = 1300 * time.Millisecond // Shorter than the scheduler's lease.
	usualDelay      = 4 * time.Millisecond
	slowDelay       = 50 * usualDelay
	slowAfter       = 800 * time.Millisecond // How long the store stays slow after the freeze.
	longestPatience = 400 * time.Millisecond // From a job's acceptance to its cancelling.
	jobEvery        = 40 * time.Millisecond
	cancelBound     = 3 * time.Second // cancel_ms
	stopBound       = 400 * time.Millisecond
	contactBound    = 3 * time.Second
)

// cancelledJob is a job whose cancelling was acknowledged.
type cancelledJob struct {
	id    string
	acked time.Time
}

// cancelWhileClaimed freezes the scheduler for a moment while the store is slow, and clients submit and cancel jobs.
func cancelWhileClaimed(e env) error {
	f, err := newFleet(e.record, usualDelay, "za", "zb", "za", "zb")
	defer f.stop()
	if err != nil {
		return err
	}
	w := newWatcher()
	f.addMinions(8, capacity{CPU: 64000, Memory: 131072}, w.started, w.ended)
	only := route{name: "r-1", prefix: "/r1/", service: service, priority: 1, maxAttempts: 4}
	f.configure(1, only)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var cancelled []cancelledJob
	var clients sync.WaitGroup
	for range cancelRounds {
		leader := f.leader()
		if leader == nil {
			return errors.New("no process is the scheduler")
		}
		var others []*process
		for _, p := range f.processes {
			if p != leader {
				others = append(others, p)
			}
		}
		if e.trouble {
			e.record.log("the store is slow: %v an answer", slowDelay)
			f.store.delay.Store(int64(slowDelay))
			leader.signal(syscall.SIGSTOP)
		}
		for end := time.Now().Add(freezeTime); time.Now().Before(end); time.Sleep(jobEvery) {
			clients.Go(func() {
				if j, ok := f.submitAndCancel(others, only.prefix); ok {
					mu.Lock()
					cancelled = append(cancelled, j)
					mu.Unlock()
				}
			})
		}
		if e.trouble {
			leader.signal(syscall.SIGCONT)
			time.Sleep(slowAfter)
			f.store.delay.Store(int64(usualDelay))
			e.record.log("the store is as usual")
		}
		time.Sleep(cancelEvery)
	}
	clients.Wait()
	time.Sleep(contactBound + cancelBound + stopBound)
	runOn := 0
	for _, j := range cancelled {
		if w.isRunning(j.id + ".0.0.0") {
			runOn++
			last, _ := w.last(j.id + ".0.0.0")
			e.record.log("job %s runs on at %s, %.1f s after its cancelling was acknowledged", j.id, last.minion, time.Since(j.acked).Seconds())
		}
	}
	e.record.log("%d jobs were cancelled, %d of them run on", len(cancelled), runOn)
	if runOn > 0 {
		return errBroken(fmt.Sprintf("%d of %d cancelled jobs run on", runOn, len(cancelled)))
	}
	return nil
}

// submitAndCancel submits a job that lasts and cancels it soon after. It reports whether the cancelling was acknowledged.
func (f *fleet) submitAndCancel(processes []*process, prefix string) (cancelledJob, bool) {
	j := cancelledJob{id: newID()}
	anyOf := func() *process { return processes[rand.IntN(len(processes))] }
	body := job{Spec: "0", Steps: []step{{Count: 1, CPU: 100, Memory: 64, Estimate: 1000, LongRunning: true}}}
	if status, _ := f.ask(anyOf(), "POST", prefix+j.id, body); status != 200 {
		return j, false
	}
	time.Sleep(rand.N(longestPatience))
	for range 10 {
		status, _ := f.ask(anyOf(), "DELETE", prefix+j.id, nil)
		if status == 200 || status == 410 {
			j.acked = time.Now()
			return j, true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return j, false
}
