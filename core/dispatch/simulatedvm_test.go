package dispatch

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
)

// vm is a simulated target VM.
type vm struct {
	info            cyclamendyke.Target
	bootedAt        time.Duration
	fence           uint64
	leaseUntil      time.Duration
	runs            map[cyclamendyke.TaskName]*vmRun
	highestEnded    map[cyclamendyke.TaskName]int64 // The highest run number that ended or was stopped.
	ends            []cyclamendyke.EndReport
	lastEndSequence int64
	voidEnds        int64 // Sequence number up to which ends count for nothing, since the lease has killed runs after them.
	down            bool
	unreachable     bool
	removed         bool // Its description was removed from the store.
	pendingReply    func()
	breakConnection func() // Cuts off the renewal that waits.
	replaced        bool   // Another VM has its address.
	pastCapacities  []pastCapacity
}

func (sim *simulation) addVM(info cyclamendyke.Target) {
	v := &vm{info: info}
	sim.vms[info.ID] = v
	sim.boot(v)
}

// boot starts a VM without any state, which writes its description anew.
func (sim *simulation) boot(v *vm) {
	v.down, v.removed = false, false
	v.bootedAt = sim.now
	v.info.StartedMillis = int64(sim.now / time.Millisecond)
	v.fence, v.leaseUntil, v.lastEndSequence, v.voidEnds, v.ends = 0, 0, 0, 0, nil
	v.runs = map[cyclamendyke.TaskName]*vmRun{}
	v.highestEnded = map[cyclamendyke.TaskName]int64{}
	if sim.describeDelay > 0 {
		sim.describeLater(v)
		return
	}
	if sim.sched != nil {
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.UpdateTarget(v.info)
	}
}

// describeLater passes on a VM's description after a while, if it is still valid then.
func (sim *simulation) describeLater(v *vm) {
	bootedAt := v.bootedAt
	sim.after(sim.randomTime(sim.describeDelay), func() {
		if v.bootedAt == bootedAt && !v.down && !v.removed {
			sim.announce(v)
		}
	})
}

// crash ends all runs on a VM without reporting them.
func (sim *simulation) crash(v *vm) {
	v.down = true
	v.pendingReply = nil
	ended := maps.Clone(v.runs)
	for name, r := range ended {
		sim.loseWork(name, r, cyclamendyke.EndFailed)
		sim.removeRun(v, name)
	}
	for name, r := range ended { // Only members on other VMs are left to report that.
		if r.spec.Gang {
			sim.endGang(name, r.number, cyclamendyke.EndLeaseExpired)
		}
	}
}

// removeRun removes a run from a VM.
func (sim *simulation) removeRun(v *vm, name cyclamendyke.TaskName) {
	r := v.runs[name]
	delete(v.runs, name)
	sim.history[name].running--
	sim.teamUsed[r.team] = sim.teamUsed[r.team].Sub(r.spec.Reserved())
}

// end ends a run and reports its end.
func (sim *simulation) end(v *vm, name cyclamendyke.TaskName, kind cyclamendyke.EndKind) {
	r := v.runs[name]
	if kind != cyclamendyke.EndDone {
		sim.loseWork(name, r, kind)
	}
	sim.removeRun(v, name)
	v.highestEnded[name] = max(v.highestEnded[name], r.number)
	v.lastEndSequence++
	end := cyclamendyke.EndReport{Sequence: v.lastEndSequence, Task: name, Run: r.number, Kind: kind}
	if sim.saved[name] > 0 && kind != cyclamendyke.EndDone {
		end.Checkpoint = "saved"
	}
	v.ends = append(v.ends, end)
	if kind == cyclamendyke.EndDone {
		sim.history[name].done = true
		sim.history[name].doneRuns[r.number] = false
	}
	if r.spec.Gang {
		sim.endGang(name, r.number, kind)
	}
	if reply := v.pendingReply; reply != nil {
		v.pendingReply = nil
		reply()
	}
}

func (v *vm) clock(now time.Duration) time.Duration { return now - v.bootedAt }

// expireLease ends all runs on a VM when its lease has expired.
func (sim *simulation) expireLease(v *vm) {
	if v.leaseUntil == 0 || v.clock(sim.now) < v.leaseUntil {
		return
	}
	names := make([]cyclamendyke.TaskName, 0, len(v.runs))
	for name := range v.runs {
		names = append(names, name)
	}
	if len(names) > 0 {
		v.voidEnds = v.lastEndSequence
	}
	slices.SortFunc(names, func(a, b cyclamendyke.TaskName) int { return compareText(a.String(), b.String()) })
	for _, name := range names {
		if v.runs[name] != nil { // Unless it ended with another member of its gang.
			sim.end(v, name, cyclamendyke.EndLeaseExpired)
		}
	}
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// extendLease extends the lease of a VM.
func (sim *simulation) extendLease(v *vm, until time.Duration) {
	v.leaseUntil = max(v.leaseUntil, min(until, v.clock(sim.now)+sim.bounds().MaxLease))
	sim.after(v.leaseUntil-v.clock(sim.now)+time.Microsecond, func() { sim.expireLease(v) })
}
