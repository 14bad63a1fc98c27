package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign"] = foreignEntry }

// The load of the case.
const (
	foreignJobs  = 12
	foreignWatch = 25 * time.Second
)

// foreignEntry has another writer put an entry of an unknown service among the minions'. It has the address of a minion
// that runs tasks.
func foreignEntry(e env) error {
	f, err := newFleet(e.record, 4*time.Millisecond, "za", "zb", "za", "zb")
	defer f.stop()
	if err != nil {
		return err
	}
	w := newWatcher()
	twice := &doubleRuns{watcher: w, record: e.record}
	minions := f.addMinions(8, capacity{CPU: 16000, Memory: 32768}, twice.started, w.ended)
	only := route{name: "r-1", prefix: "/r1/", service: service, priority: 1, maxAttempts: 4}
	f.configure(1, only)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for i := range foreignJobs {
		id := newID()
		status, text := f.ask(f.processes[i%len(f.processes)], "POST", only.prefix+id, job{
			Spec: "12000", Steps: []step{{Count: 2, CPU: 1000, Memory: 256, Estimate: 12000}},
		})
		if status != 200 {
			return fmt.Errorf("job was not accepted: %d %s", status, text)
		}
		if err := await(5*time.Second, "a job to start", func() bool { return w.isRunning(id + ".0.0.0") }); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		m := busiest(minions)
		f.store.put("servers/i-other", map[string]any{
			"service": "inventory", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": m.capacity, "labels": m.labels, "clock_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		e.record.log("another writer has written servers/i-other with the address of %s and the service inventory, which no configuration names", m.id)
	}
	time.Sleep(foreignWatch)
	return twice.verdict()
}
