package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// The rule on work that waits beside idle room, by the users' pages: nothing may wait for idleBound in calm while there is room for it
// twice over and less than half of the service is in use. What lasts may not, however much is in use, from lastingAway after its last run.
const (
	idleBound   = 3 * time.Second
	idleCalm    = 4 * time.Second // Of calm before that.
	lastingAway = 6 * time.Second
	idleUse     = 0.5
	idleSample  = 50 * time.Millisecond
)

// idleJudge looks at what the VMs of a simulation run, and at nothing of the scheduler, and says what waits for too long.
type idleJudge struct {
	sim       *simulation
	calmSince time.Duration
	waits     map[cyclamendyke.TaskName]time.Duration // Since when there is room for a task, or a gang, that does not run.
	ranAt     map[cyclamendyke.TaskName]time.Duration // When something that lasts ran last.
	idleSince time.Duration                           // Since when nothing runs while something fits.
	broken    []string
}

func newIdleJudge(sim *simulation) *idleJudge {
	return &idleJudge{sim: sim, calmSince: sim.now, idleSince: sim.now, waits: map[cyclamendyke.TaskName]time.Duration{}, ranAt: map[cyclamendyke.TaskName]time.Duration{}}
}

// disturbed notes that something was disturbed.
func (j *idleJudge) disturbed() {
	j.calmSince = j.sim.now
}

// free returns the room of the VMs that take work, and what part of their cores is in use.
func (j *idleJudge) free() (free []cyclamendyke.Resources, used float64) {
	var inUse, capacity cyclamendyke.Resources
	for _, v := range j.sim.vms {
		if v.down || v.removed || v.replaced || v.info.Draining {
			continue
		}
		left := v.info.Capacity
		for _, r := range v.runs {
			left, inUse = left.Sub(r.spec.Reserved()), inUse.Add(r.spec.Reserved())
		}
		capacity = capacity.Add(v.info.Capacity)
		free = append(free, left)
	}
	return free, inUse.DominantShare(capacity)
}

// fits reports whether count tasks fit in what is free.
func fits(free []cyclamendyke.Resources, need cyclamendyke.Resources, count int) bool {
	for _, left := range free {
		for count > 0 && need.FitsIn(left) {
			left = left.Sub(need)
			count--
		}
	}
	return count <= 0
}

// look judges the present moment.
func (j *idleJudge) look() {
	free, used := j.free()
	waiting := map[cyclamendyke.TaskName]bool{}
	isIdle := used == 0
	anyFits := false
	for id, w := range j.sim.workflows {
		if j.sim.status(id).IsFinal() {
			continue
		}
		step := &w.spec.Steps[0]
		count := 1
		if step.Gang {
			count = step.Count
		}
		anyFits = anyFits || fits(free, step.Reserved(), count)
		if !fits(free, step.Reserved(), 2*count) {
			continue
		}
		for _, name := range j.notRunning(id, step) {
			waiting[name] = step.LongRunning || used < idleUse
		}
	}
	isCalm := j.sim.now-j.calmSince > idleCalm
	for name := range j.waits {
		if !waiting[name] {
			delete(j.waits, name)
		}
	}
	for name, counts := range waiting {
		if !counts || !isCalm {
			j.waits[name] = j.sim.now
		}
		if _, isKnown := j.waits[name]; !isKnown {
			j.waits[name] = j.sim.now
		}
		if wait := j.sim.now - j.waits[name]; wait > idleBound && j.sim.now-j.ranAt[name] > lastingAway+idleBound {
			j.report("%v waits for %v beside room for two", name, wait)
			j.waits[name] = j.sim.now
		}
	}
	if !isIdle || !anyFits || !isCalm {
		j.idleSince = j.sim.now
	}
	if j.sim.now-j.idleSince > idleBound {
		j.report("nothing runs for %v though something fits", j.sim.now-j.idleSince)
		j.idleSince = j.sim.now
	}
}

// notRunning names the tasks of a workflow for which the rule asks and which do not run: of what lasts each one, of others the first if
// none runs.
func (j *idleJudge) notRunning(id cyclamendyke.WorkflowID, step *cyclamendyke.Step) []cyclamendyke.TaskName {
	var out []cyclamendyke.TaskName
	anyRuns := false
	for i := range step.Count {
		name := cyclamendyke.TaskName{Workflow: id, Index: i}
		if h := j.sim.history[name]; h != nil && h.running > 0 {
			j.ranAt[name], anyRuns = j.sim.now, true
		} else if h == nil || !h.done {
			out = append(out, name)
		}
	}
	if step.LongRunning || len(out) == 0 {
		return out
	}
	if anyRuns {
		return nil
	}
	return out[:1]
}

func (j *idleJudge) report(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%v: ", j.sim.now-time.Hour)+fmt.Sprintf(format, args...))
}

// run simulates for a while under the judge's eyes.
func (j *idleJudge) run(d time.Duration) {
	for end := j.sim.now + d; j.sim.now < end; {
		j.sim.run(idleSample)
		j.look()
	}
}

// drainAway drains a VM, which leaves a second later and is replaced by another one after a while.
func (sim *simulation) drainAway(v *vm, after time.Duration) {
	v.info.Draining, v.info.Remaining = true, time.Second
	sim.sched.Advance(sim.now, sim.wall())
	sim.sched.UpdateTarget(v.info)
	sim.after(time.Second, func() {
		sim.crash(v)
		sim.removeDescription(v)
		v.removed = true
	})
	next := v.info
	next.ID, next.Draining, next.Remaining = cyclamendyke.TargetID(fmt.Sprint(v.info.ID, "'")), false, 0
	next.Address = string(next.ID)
	sim.after(time.Second+after, func() { sim.addVM(next) })
}

// drawnWork hands in work that is drawn: gangs from narrow to most of the fleet, wide and small tasks, and work that lasts.
func drawnWork(sim *simulation, random *rand.Rand, name string, vms int) {
	estimate := time.Duration(500+random.IntN(6000)) * time.Millisecond
	step := cyclamendyke.Step{Count: 1 + random.IntN(4), Need: cores(int64(1 + random.IntN(6))), Estimate: estimate}
	switch random.IntN(6) {
	case 0, 1:
		step = cyclamendyke.Step{Count: 2 + random.IntN(vms-3), Need: cores(int64(6 + random.IntN(11))), Estimate: estimate, Gang: true}
	case 2:
		step.Need = cores(int64(9 + random.IntN(8)))
	case 3:
		step.LongRunning = true
		step.Need = cores(int64(1 + random.IntN(8)))
	}
	sim.submit(workflow(name, step))
}

// checkIdleRoom draws a day with crashes and drains, then calm in which more work comes, and returns what broke the rule.
func checkIdleRoom(t *testing.T, seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 13))
	const vms = 15
	sim := limitedFleet(t, seed, vms)
	sim.fleet.Teams, sim.fleet.Queues[0].Advice, sim.fleet.Queues[0].Priority = nil, nil, 1
	sim.crashing = crashingTasks{broken: random.IntN(2) == 0, downFor: time.Second}
	sim.elect()
	judge := newIdleJudge(sim)
	judge.run(time.Second)
	lasting := 0
	submit := func(name string) {
		drawnWork(sim, random, name, vms)
		if step := &sim.workflows[cyclamendyke.WorkflowID(name)].spec.Steps[0]; step.LongRunning {
			lasting++
		}
	}
	for i := range 4 + random.IntN(8) {
		submit(fmt.Sprint("first-", i))
		judge.run(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	for range random.IntN(10) {
		ids := make([]cyclamendyke.TargetID, 0, len(sim.vms))
		for i := range vms {
			id := cyclamendyke.TargetID(fmt.Sprint("vm-", i))
			for sim.vms[id].removed || sim.vms[id].info.Draining {
				id += "'"
				if sim.vms[id] == nil {
					break
				}
			}
			if v := sim.vms[id]; v != nil && !v.down {
				ids = append(ids, id)
			}
		}
		v := sim.vms[ids[random.IntN(len(ids))]]
		judge.disturbed()
		if random.IntN(5) == 0 {
			sim.drainAway(v, time.Duration(random.IntN(3000))*time.Millisecond)
			judge.calmSince += 4 * time.Second
		} else {
			sim.crashAndReturn(v)
			judge.calmSince += time.Second
		}
		if random.IntN(3) == 0 {
			submit(fmt.Sprint("amid-", sim.now))
		}
		judge.run(time.Duration(300+random.IntN(2500)) * time.Millisecond)
	}
	for i := range random.IntN(8) {
		submit(fmt.Sprint("calm-", i))
		judge.run(time.Duration(500+random.IntN(3000)) * time.Millisecond)
	}
	judge.run(40 * time.Second)
	return append(judge.broken, sim.violations...)
}

// TestWorkWaitsBesideIdleRoom guards against gangs, suspects and wide tasks that keep room idle for which others wait.
func TestWorkWaitsBesideIdleRoom(t *testing.T) {
	is := is.New(t)
	const days = 150
	broken := 0
	for seed := range uint64(days) {
		if found := checkIdleRoom(t, seed); len(found) > 0 {
			broken++
			t.Logf("seed %d: %v", seed, found[0])
		}
	}
	t.Logf("%d of %d days broken", broken, days)
	is.Equal(broken, 0)
}
