package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

func init() { cases["stray"] = strayEntry }

// downTime is how long the killed process stays away.
const downTime = 3 * time.Second

// strayEntry kills the scheduler's process while the store holds an entry of another writer among the minions'.
func strayEntry(e env) error {
	f, err := newFleet(e.record, 4*time.Millisecond, "za", "zb", "za", "zb")
	defer f.stop()
	if err != nil {
		return err
	}
	w := newWatcher()
	f.addMinions(8, capacity{CPU: 16000, Memory: 32768}, w.started, w.ended)
	if os.Getenv("STRAY") != "0" {
		if err := f.putStray(); err != nil {
			return err
		}
	}
	only := route{name: "r-1", prefix: "/r1/", service: service, priority: 1, maxAttempts: 4}
	f.configure(1, only)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var jobs []*watchedJob
	for range 6 {
		j := &watchedJob{id: newID(), route: only}
		jobs = append(jobs, j)
		status, text := f.ask(f.processes[0], "POST", only.prefix+j.id, job{Spec: "4000 1000", Steps: []step{
			{Count: 2, CPU: 1000, Memory: 256, Estimate: 4000},
			{Count: 2, CPU: 1000, Memory: 256, Estimate: 1000, After: []int{0}},
		}})
		if status != 200 {
			return fmt.Errorf("job was not accepted: %d %s", status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if e.trouble {
		leader := f.leader()
		if leader == nil {
			return errors.New("no process is the scheduler")
		}
		leader.signal(syscall.SIGKILL)
		<-leader.exited
		time.Sleep(downTime)
		if err := leader.start(false); err != nil {
			return err
		}
	}
	e.record.log("nothing is disturbed from now on")
	watchJobs(w, jobs)
	var broken error
	for _, j := range jobs {
		e.record.log("job %s: at most %.1f s with nothing running while the turn of its second step had come, after %v of calm", j.id, j.longestIdle.Seconds(), calmTime)
		if j.longestIdle > idleAllowed {
			broken = errBroken(fmt.Sprintf("job %s had nothing running for %.1f s while the turn of its second step had come", j.id, j.longestIdle.Seconds()))
		}
	}
	return broken
}

// putStray writes an entry that misses fields and has one of another type. Nobody answers at its address.
func (f *fleet) putStray() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store.put("servers/i-stray", map[string]any{
		"service": service, "address": listener.Addr().String(), "state": "ready", "seq": "none",
		"capacity": capacity{CPU: 16000, Memory: 32768},
	})
	f.record.log("another writer has written servers/i-stray, without zone, version, slots, labels and born, and with text as seq")
	return nil
}
