package main

import (
	"fmt"
	"time"
)

func init() { cases["idle"] = idle }

// The case has rounds of crashes, each followed by a look at what runs in calm.
const (
	idleRounds  = 5
	idleCrashes = 5
	idleGangs   = 4 // Gangs that are handed in for each round, some of which wait.
	idleMembers = 12
	idleLook    = 5 * time.Second
)

// The rule's bounds: nothing may wait for idleBound in calm, which begins calmAfter after the last disruption.
const (
	calmAfter = 4 * time.Second
	idleBound = 3 * time.Second
)

// idle has single minions crash, one after the other, under gangs that run in turn. Then a job that lasts is handed in, for which
// there is room many times over. It may not wait while nothing runs anywhere.
func idle(w *world) bool {
	const prefix, key = "/queue/", "key-of-tenant-one-01"
	w.configure(1, []route{{"q", prefix, "svc", 0, 4, false}}, map[string][]string{"one": {key}})
	for i := range 15 {
		w.addMachine("svc", []string{"z1", "z2", "z3"}[i%3], fmt.Sprintf("r1-%d", i/3))
	}
	for i, name := range []string{"front-z1-1", "front-z2-1", "front-z3-1"} {
		w.addFront(name, []string{"z1", "z2", "z3"}[i])
	}
	w.awaitReady(prefix, key)
	for round := range idleRounds {
		for n := range idleGangs {
			id := fmt.Sprintf("1d1e0000000%02x%03x", round, n)
			body := job("8000", idleMembers, 33000)
			body["steps"].([]map[string]any)[0]["gang"] = true
			w.gangs.setSize(id+".0.0", idleMembers)
			w.call(w.fronts[n%3], "POST", prefix+id, key, body, 3*time.Second)
		}
		time.Sleep(2 * time.Second)
		if w.troubled() {
			w.crashOneByOne(idleCrashes, false)
		} else {
			time.Sleep(idleCrashes * crashEvery)
		}
		ended := time.Now()
		time.Sleep(calmAfter)
		lasting := fmt.Sprintf("1d1e0000000%02xfff", round)
		body := job("0", 4, 33000)
		body["steps"].([]map[string]any)[0]["long_running"] = true
		if w.call(w.fronts[0], "POST", prefix+lasting, key, body, 3*time.Second).status == 200 && w.waitsInCalm(lasting, ended) {
			return true
		}
		w.call(w.fronts[0], "DELETE", prefix+lasting, key, nil, 3*time.Second)
	}
	return false
}

// waitsInCalm reports whether a job waits for over idleBound while nothing runs on any minion.
func (w *world) waitsInCalm(id string, ended time.Time) bool {
	begin := time.Now()
	idleSince := begin
	for time.Since(begin) < idleLook {
		all, ofJob := w.running(id)
		switch {
		case ofJob > 0:
			w.log("check: %s runs %.1f s after the last disruption", id, time.Since(ended).Seconds())
			return false
		case all > 0:
			idleSince = time.Now()
		case time.Since(idleSince) > idleBound:
			w.log("check: %s waits, and nothing has run on any minion for %v, %.1f s after the last disruption", id, idleBound, time.Since(ended).Seconds())
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.log("check: %s waits, beside other work", id)
	return false
}

// running returns how many runs there are, and how many of them are of a job.
func (w *world) running(id string) (all, ofJob int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.ended.IsZero() {
			all++
			if len(r.task) > len(id) && r.task[:len(id)] == id {
				ofJob++
			}
		}
	}
	return all, ofJob
}
