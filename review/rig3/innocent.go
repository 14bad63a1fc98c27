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
	crashes    = 14
	crashShare = 0.07
)

// innocent has single minions crash, one after the other, under gangs that would be done otherwise. No run ends failed, so that no job
// may be shown as failed.
func innocent(w *world) bool {
	const prefix, key, jobs, members = "/queue/", "key-of-tenant-one-01", 6, 10
	w.configure(1, []route{{"q", prefix, "svc", 0, 4, false}}, map[string][]string{"one": {key}})
	for i := range 15 {
		w.addMachine("svc", []string{"z1", "z2", "z3"}[i%3], fmt.Sprintf("r1-%d", i/3))
	}
	for i, name := range []string{"front-z1-1", "front-z2-1", "front-z3-1"} {
		w.addFront(name, []string{"z1", "z2", "z3"}[i])
	}
	w.awaitReady(prefix, key)
	id := func(n int) string { return fmt.Sprintf("1aa0ce0000000%03x", n) }
	for n := range jobs {
		body := job("8000", members, 20000)
		body["steps"].([]map[string]any)[0]["gang"] = true
		w.gangs.sizes[id(n)+".0.0"] = members
		w.call(w.fronts[n%3], "POST", prefix+id(n), key, body, 3*time.Second)
	}
	time.Sleep(2 * time.Second)
	if w.troubled() {
		for range crashes {
			victims := rand.Perm(len(w.machines))[:int(crashShare*float64(len(w.machines)))]
			for _, v := range victims {
				w.machines[v].crash()
			}
			time.Sleep(crashFor)
			for _, v := range victims {
				w.machines[v].up()
			}
			time.Sleep(crashEvery - crashFor)
		}
	} else {
		time.Sleep(crashes * crashEvery)
	}
	end := time.Now().Add(40 * time.Second)
	broken := false
	for n := range jobs {
		state := ""
		for state != "completed" && state != "failed" && time.Now().Before(end) {
			state = w.call(w.fronts[0], "GET", prefix+id(n), key, nil, 3*time.Second).state
			time.Sleep(300 * time.Millisecond)
		}
		ends := map[string]int{}
		for _, r := range w.runsOf(id(n)) {
			ends[r.how]++
		}
		w.log("check: job %s is shown as %s; its runs ended %v", id(n), state, ends)
		broken = broken || state == "failed" && ends["failed"] == 0
	}
	return broken
}
