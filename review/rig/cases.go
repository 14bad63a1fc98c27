package main

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// small is a job of one step of short tasks.
func small() submission {
	return submission{Spec: "work 150", Steps: []step{{Count: 3, CPU: 1000, Mem: 256, Estimate: 150}}}
}

// traffic hands in a small job each interval until a time, and returns the accepted ones.
func (g *rig) traffic(interval time.Duration, end time.Time) []*job {
	var accepted []*job
	for time.Now().Before(end) {
		if j := g.submit(small()); j != nil {
			accepted = append(accepted, j)
		}
		time.Sleep(interval)
	}
	return accepted
}

// The job of case layers: stages one after the other, each of several steps.
const (
	layerCount = 12
	layerWidth = 6
)

// layered returns a job of stages. With barriers, each step waits for all steps of the stage before; without, for one of them.
func layered(barriers bool) submission {
	s := submission{Spec: "work 100"}
	for layer := range layerCount {
		for n := range layerWidth {
			next := step{Count: 1, CPU: 1000, Mem: 256, Estimate: 100}
			for before := range layerWidth {
				if layer > 0 && (barriers || before == n) {
					next.After = append(next.After, (layer-1)*layerWidth+before)
				}
			}
			s.Steps = append(s.Steps, next)
		}
	}
	return s
}

// playLayers hands in one job of twelve stages among small ones.
func playLayers(g *rig, trouble bool) {
	g.deploy(8, someCores)
	jobs := g.traffic(300*time.Millisecond, time.Now().Add(4*time.Second))
	if j := g.submit(layered(trouble)); j != nil {
		jobs = append(jobs, j)
	}
	jobs = append(jobs, g.traffic(300*time.Millisecond, time.Now().Add(5*time.Second))...)
	g.checkFinished(jobs, 1000)
}

// The jobs of case timed: each runs one short task a minute.
const (
	timedJobs     = 4
	timedRepeats  = 180_000 // Some four months.
	timedInterval = time.Minute
)

// playTimed hands in jobs that run a task every minute for months, or for some minutes.
func playTimed(g *rig, trouble bool) {
	g.deploy(8, someCores)
	go g.limitMemory()
	jobs := g.traffic(300*time.Millisecond, time.Now().Add(3*time.Second))
	repeats := 10
	if trouble {
		repeats = timedRepeats
	}
	for range timedJobs {
		g.submit(submission{
			Spec: "work 100", Steps: []step{{Count: 1, CPU: 1000, Mem: 256, Estimate: 100}},
			Repeat: repeats, StartAt: time.Now().Add(time.Second).UnixMilli(), Interval: float64(timedInterval.Milliseconds()),
		})
	}
	jobs = append(jobs, g.traffic(300*time.Millisecond, time.Now().Add(12*time.Second))...)
	g.checkFinished(jobs, 1000)
	for _, d := range g.nodes {
		if d.kills >= 3 {
			g.violate("Fault: %s was killed %d times for its memory", d.name, d.kills)
		}
	}
}

// The minions of case reborn.
const (
	rebornMinions = 8
	rebornAtOnce  = 1 // 0.125 of the service; 0.14 may crash together.
	rebornDown    = time.Second
	rebornUp      = time.Second
)

// playReborn crashes a few minions, which answer nothing until they start again a second later under their identifiers.
func playReborn(g *rig, trouble bool) {
	g.deploy(rebornMinions, someCores)
	end := time.Now().Add(76 * time.Second)
	if trouble {
		go func() {
			for time.Now().Before(end) {
				first := rand.Intn(rebornMinions)
				for i := range rebornAtOnce {
					g.minions[(first+5*i)%rebornMinions].crash(true)
				}
				time.Sleep(rebornDown)
				for i := range rebornAtOnce {
					g.minions[(first+5*i)%rebornMinions].restart(time.Duration(rand.Intn(1000)) * time.Millisecond)
				}
				time.Sleep(rebornUp)
			}
		}()
	}
	var jobs []*job
	for ; time.Now().Before(end) && !g.isBroken(); time.Sleep(time.Duration(100+rand.Intn(100)) * time.Millisecond) {
		s := submission{Spec: fmt.Sprintf("work %d", 30+rand.Intn(50)), Steps: []step{{Count: 7, CPU: 4000, Mem: 256, Estimate: 50, MaxPer: 1}}}
		if j := g.submit(s); j != nil {
			jobs = append(jobs, j)
		}
	}
	if !g.isBroken() {
		g.checkFinished(jobs, 4000)
	}
}

// The jobs of case wide: one of very many small tasks, and one whose tasks last.
const (
	wideCount   = 150_000
	wideCPU     = 100 // Thousandths of a core.
	lastingSize = 6
	mayMiss     = 1
)

// playWide hands in one job of very many small tasks while the tasks of another one last.
func playWide(g *rig, trouble bool) {
	g.deploy(16, someCores)
	lasting := g.submit(submission{Spec: "last", Steps: []step{{Count: lastingSize, CPU: 1000, Mem: 256, LongRunning: true, MayMiss: mayMiss, MaxPer: 1}}})
	if lasting == nil {
		g.fail(exitNotRun, "the job that lasts was not accepted")
	}
	g.watchLasting(lasting.id)
	jobs := g.traffic(300*time.Millisecond, time.Now().Add(4*time.Second))
	count := 100
	if trouble {
		count = wideCount
	}
	g.submit(submission{Spec: "work 2000", Steps: []step{{Count: count, CPU: wideCPU, Mem: 64, Estimate: 2000}}})
	jobs = append(jobs, g.traffic(300*time.Millisecond, time.Now().Add(30*time.Second))...)
	g.checkFinished(jobs, 1000)
}

// watchLasting begins to check a job whose tasks last, as rule AVAIL says.
func (g *rig) watchLasting(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lasting = id
}

// checkLapsed checks the lapse of a lease that ends a task that lasts; the caller holds the lock.
func (g *rig) checkLapsed(task string) {
	id, _, _ := strings.Cut(task, ".")
	if id != g.lasting || len(g.history(task).live) > 0 {
		return
	}
	away := 0
	for n := range lastingSize {
		other := fmt.Sprintf("%s.0.0.%d", id, n)
		if other != task && len(g.history(other).live) == 0 {
			away++
		}
	}
	if away >= mayMiss {
		g.violateLocked("AVAIL: the lease of %s lapses with no disruption near, while %d others of its step are away (may_miss %d)", task, away, mayMiss)
	}
}

// The job of case ends: so many small tasks that a minion has more than 500 ends to list once they are done.
const (
	endsMinions = 4
	endsCount   = 2_400
	endsCPU     = 200 // Thousandths of a core; a minion has room for 640.
)

// playEnds kills the daemon that leads while a job of many small tasks runs, and starts it again later.
func playEnds(g *rig, trouble bool) {
	g.playManyTasks(func() {
		if !trouble {
			return
		}
		leader := g.leader()
		if leader == nil {
			g.fail(exitNotRun, "nobody leads")
		}
		g.note("daemon %s is killed", leader.name)
		leader.kill()
		time.Sleep(3500 * time.Millisecond)
		g.startNode(leader)
	})
}

// The slow store of case slow-ends: its answers take 60 times their 4 ms.
const (
	slowAnswer = 240 * time.Millisecond
	slowFor    = 4500 * time.Millisecond
)

// playSlowEnds makes the store slow while the same job runs.
func playSlowEnds(g *rig, trouble bool) {
	g.playManyTasks(func() {
		if !trouble {
			return
		}
		g.note("the store is slow")
		for _, d := range g.nodes {
			d.store.delay.Store(int64(slowAnswer))
		}
		time.Sleep(slowFor)
		for _, d := range g.nodes {
			d.store.delay.Store(0)
		}
		g.note("the store is as before")
	})
}

// playManyTasks hands in a job of many small tasks among small jobs, and calls disrupt while they run.
func (g *rig) playManyTasks(disrupt func()) {
	g.deploy(endsMinions, manyCores)
	jobs := g.traffic(300*time.Millisecond, time.Now().Add(3*time.Second))
	if j := g.submit(submission{Spec: "work 2000", Steps: []step{{Count: endsCount, CPU: endsCPU, Mem: 64, Estimate: 2000}}}); j != nil {
		jobs = append(jobs, j)
	}
	time.Sleep(1500 * time.Millisecond)
	disrupt()
	jobs = append(jobs, g.traffic(300*time.Millisecond, time.Now().Add(8*time.Second))...)
	g.checkFinished(jobs, 1000)
}

// leader returns the daemon that last changed the store on a condition about who leads, by the record that it keeps there.
func (g *rig) leader() *daemon {
	g.store.mu.Lock()
	record := string(g.store.items["system/scheduler"].Value)
	g.store.mu.Unlock()
	for _, d := range g.nodes {
		if strings.Contains(record, `"`+d.name+`"`) {
			return d
		}
	}
	return nil
}
