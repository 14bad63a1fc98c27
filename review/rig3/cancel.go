package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cancel-in-doubt"] = cancelInDoubt }

// The dose of the disruption: for lostFor the store carries some writes out lostLate later, without an answer.
const (
	lostFor  = 2500 * time.Millisecond
	lostLate = 6 * time.Second
)

// The bounds of the rule, as in the settings.
const (
	cancelBound  = 3 * time.Second // cancel_ms
	contactBound = 3 * time.Second // contact_ms
)

// cancelInDoubt hands jobs in while the store loses some answers. Each job that got no decision is cancelled, and must not run once
// that is acknowledged.
func cancelInDoubt(w *world) bool {
	const prefix, key = "/queue/", "key-of-tenant-one-01"
	w.configure(1, []route{{"q", prefix, "svc", 0, 3, false}}, map[string][]string{"one": {key}})
	for i := range 6 {
		w.addMachine("svc", []string{"z1", "z2", "z3"}[i%3])
	}
	for i, name := range []string{"front-z1-1", "front-z2-1", "front-z3-1"} {
		w.addFront(name, []string{"z1", "z2", "z3"}[i])
	}
	w.awaitReady(prefix, key)
	const unlucky = 3 // Of the jobs below, those whose writes are lost.
	id := func(n int) string { return fmt.Sprintf("c0ffee00000000%02x", n) }
	var mu sync.Mutex
	lost, writes := 0, 0
	begin := time.Now()
	if w.troubled() {
		w.store.late = func(c *change) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(begin) > lostFor {
				return 0
			}
			writes++
			for n := range unlucky {
				if c.puts("work/" + id(n*10)) {
					lost++
					w.log("store: a write of job %s gets no answer", id(n*10))
					return lostLate
				}
			}
			return 0
		}
	}
	acknowledged := map[string]reply{}
	var wg sync.WaitGroup
	for n := range 40 { // Ten jobs a second.
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			f := w.fronts[n%len(w.fronts)]
			isWatched := n%10 == 0 && n/10 < unlucky
			r := w.call(f, "POST", prefix+id(n), key, job("1000", 2, 1000), 3*time.Second)
			if !isWatched || r.status != 200 && r.status != 502 && r.status != 504 && r.status != 0 {
				return
			}
			for range 10 {
				r = w.call(f, "DELETE", prefix+id(n), key, nil, 3*time.Second)
				if r.status/100 == 2 || r.status == 410 {
					mu.Lock()
					acknowledged[id(n)] = r
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.log("store: %d of %d writes had no answer in %v", lost, writes, lostFor)
	time.Sleep(time.Until(begin.Add(lostFor + lostLate + 5*time.Second)))
	broken := false
	for n := range unlucky {
		ack, ok := acknowledged[id(n*10)]
		if !ok {
			w.log("check: the cancelling of %s was not acknowledged", id(n*10))
			continue
		}
		w.call(w.fronts[0], "GET", prefix+id(n*10), key, nil, 3*time.Second)
		for _, r := range w.runsOf(id(n * 10)) {
			after, calm := r.began.Sub(ack.at), r.began.Sub(begin.Add(lostFor))
			w.log("check: run %d of %s began %.3f s after the cancelling was acknowledged with %d, and %.3f s after the last disruption",
				r.run, r.task, after.Seconds(), ack.status, calm.Seconds())
			broken = broken || after > cancelBound && calm > contactBound
		}
	}
	return broken
}
