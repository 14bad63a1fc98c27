package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["innocent"] = innocent }

// The dose of the disruption: every crashEvery, crashShare of the service's minions crash, and are back after crashFor.
const (
	crashEvery = 2 * time.Second
	crashFor   = time.Second
	crashes    = 5
	crashShare = 0.07
)

// givenUpAfter is the number of crashed minions under a task from which on it may be given up.
const givenUpAfter = 2

// innocent has single minions crash, one after the other, under one gang after the other that would be done otherwise. No run ends failed, so that no job
// may be shown as failed unless two minions crashed under one of its tasks.
func innocent(w *world) bool {
	const prefix, key, jobs, members = "/queue/", "key-of-tenant-one-01", 5, 12
	w.configure(1, []route{{"q", prefix, "svc", 0, 4, false}}, map[string][]string{"one": {key}})
	for i := range 15 {
		w.addMachine("svc", []string{"z1", "z2", "z3"}[i%3], fmt.Sprintf("r1-%d", i/3))
	}
	for i, name := range []string{"front-z1-1", "front-z2-1", "front-z3-1"} {
		w.addFront(name, []string{"z1", "z2", "z3"}[i])
	}
	w.awaitReady(prefix, key)
	for n := range jobs {
		id := fmt.Sprintf("1aa0ce0000000%03x", n)
		body := job("8000", members, 33000)
		body["steps"].([]map[string]any)[0]["gang"] = true
		w.gangs.setSize(id+".0.0", members)
		w.call(w.fronts[n%3], "POST", prefix+id, key, body, 3*time.Second)
		time.Sleep(2 * time.Second)
		if w.troubled() {
			w.crashOneByOne(crashes, true)
		} else {
			time.Sleep(crashes * crashEvery)
		}
		if w.isFailedInnocent(id, w.awaitFinal(w.fronts[0], prefix+id, key)) {
			return true
		}
	}
	return false
}

// awaitFinal waits for a while until a job has ended, and returns its state.
func (w *world) awaitFinal(f *front, path, key string) string {
	end := time.Now().Add(10 * time.Second)
	for {
		state := w.call(f, "GET", path, key, nil, 3*time.Second).state
		if state == "completed" || state == "failed" || time.Now().After(end) {
			return state
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// isFailedInnocent reports whether a job is shown as failed though none of its runs ended failed, nor did several minions crash under
// one of its tasks.
func (w *world) isFailedInnocent(id, state string) bool {
	ends, crashesUnder := map[string]int{}, map[string]int{}
	most := 0
	for _, r := range w.runsOf(id) {
		ends[r.how]++
		if r.how == lostWithMinion {
			crashesUnder[r.task]++
			most = max(most, crashesUnder[r.task])
		}
	}
	w.log("check: job %s is shown as %s; its runs ended %v; at most %d minions crashed under one of its tasks", id, state, ends, most)
	return state == "failed" && ends["failed"] == 0 && most < givenUpAfter
}

// crashOneByOne crashes crashShare of the minions at a time, picked at random; atWork asks for those that run something, if there are any.
func (w *world) crashOneByOne(times int, atWork bool) {
	for range times {
		victims := w.pickVictims(int(crashShare*float64(len(w.machines))), atWork)
		for _, m := range victims {
			m.crash()
		}
		time.Sleep(crashFor)
		for _, m := range victims {
			m.up()
		}
		time.Sleep(crashEvery - crashFor)
	}
}

// pickVictims returns count machines at random, if wanted those at work before the idle ones.
func (w *world) pickVictims(count int, atWork bool) []*machine {
	var first, others []*machine
	for _, i := range rand.Perm(len(w.machines)) {
		if m := w.machines[i]; !atWork || m.isAtWork() {
			first = append(first, m)
		} else {
			others = append(others, m)
		}
	}
	return append(first, others...)[:count]
}

// isAtWork reports whether a machine's minion runs anything.
func (m *machine) isAtWork() bool {
	m.mu.Lock()
	mn := m.now
	m.mu.Unlock()
	if mn == nil {
		return false
	}
	mn.mu.Lock()
	defer mn.mu.Unlock()
	return len(mn.runs) > 0
}
