package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["reborn"] = rebornMinions }

// The load and the disturbance of the case.
const (
	rebornMinionCount = 8
	submitEvery       = 60 * time.Millisecond
	rebornRounds      = 12
	rebornEvery       = 4 * time.Second
)

// rebornMinions has one minion after the other lose power for a moment and come back under its identifier.
func rebornMinions(e env) error {
	f, err := newFleet(e.record, 4*time.Millisecond, "za", "zb", "za", "zb")
	defer f.stop()
	if err != nil {
		return err
	}
	w := newWatcher()
	twice := &doubleRuns{watcher: w, record: e.record}
	minions := f.addMinions(rebornMinionCount, capacity{CPU: 64000, Memory: 131072}, twice.started, w.ended)
	only := route{name: "r-1", prefix: "/r1/", service: service, priority: 1, maxAttempts: 4}
	f.configure(1, only)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(submitEvery):
			}
			ms := 400 + rand.IntN(1600)
			f.ask(f.processes[i%len(f.processes)], "POST", only.prefix+newID(), job{
				Spec: fmt.Sprint(ms), Steps: []step{{Count: 4, CPU: 250, Memory: 256, Estimate: int64(ms)}},
			})
		}
	})
	time.Sleep(2 * time.Second)
	for range rebornRounds {
		m := busiest(minions)
		if e.trouble {
			m.loseLife()
			time.Sleep(time.Duration(800+rand.IntN(300)) * time.Millisecond)
			m.reborn()
		}
		time.Sleep(rebornEvery)
	}
	close(stop)
	clients.Wait()
	return twice.verdict()
}

// busiest returns the minion that runs the most tasks.
func busiest(minions []*minion) *minion {
	best, most := minions[0], -1
	for _, m := range minions {
		m.mu.Lock()
		if len(m.life.runs) > most {
			best, most = m, len(m.life.runs)
		}
		m.mu.Unlock()
	}
	return best
}
