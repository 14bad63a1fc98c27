package dispatch

import (
	"time"

	"cyclamendyke"
)

// vmRun is one run on a simulated VM.
type vmRun struct {
	number   int64
	started  time.Duration // When it began to work; for a gang, when all members were there.
	duration time.Duration // How long it works, including the restore from a checkpoint.
	restored float64       // Part of the work that was in its checkpoint.
	spec     *cyclamendyke.Step
	team     cyclamendyke.TeamName
	waiting  bool // Waits for the other members of its gang.
	stopping bool
}

// gangKey identifies one run of a gang.
type gangKey struct {
	step   cyclamendyke.StepName
	number int64
}

// gangRun is one run of a gang whose members work only together.
type gangRun struct {
	members map[cyclamendyke.TaskName]*vm
}

func stepOf(name cyclamendyke.TaskName) cyclamendyke.StepName {
	return cyclamendyke.StepName{Workflow: name.Workflow, Occurrence: name.Occurrence, Step: name.Step}
}

// beginWork lets a new run work: at once, or with the last member of its gang.
func (sim *simulation) beginWork(v *vm, name cyclamendyke.TaskName, r *vmRun) {
	restored := sim.saved[name]
	r.restored = restored
	r.duration = time.Duration((1 - restored) * float64(sim.runTime(name, v)))
	if restored > 0 {
		r.duration += sim.restoreTime
	}
	if !r.spec.Gang {
		sim.scheduleEnd(v, name, r)
		return
	}
	key := gangKey{stepOf(name), r.number}
	gang := sim.gangs[key]
	if gang == nil {
		gang = &gangRun{members: map[cyclamendyke.TaskName]*vm{}}
		sim.gangs[key] = gang
	}
	r.waiting = true
	gang.members[name] = v
	if len(gang.members) == r.spec.Count {
		sim.beginGang(gang)
	}
}

// beginGang lets all members work, at the pace of the slowest.
func (sim *simulation) beginGang(gang *gangRun) {
	slowest := time.Duration(0)
	for name, v := range gang.members {
		slowest = max(slowest, v.runs[name].duration)
	}
	for name, v := range gang.members {
		r := v.runs[name]
		r.waiting, r.started, r.duration = false, sim.now, slowest
	}
	var leader cyclamendyke.TaskName
	for name := range gang.members {
		if leader.Workflow == "" || name.Index < leader.Index {
			leader = name
		}
	}
	sim.scheduleEnd(gang.members[leader], leader, gang.members[leader].runs[leader])
}

// scheduleEnd ends a run, or all members of its gang, when its work is done.
func (sim *simulation) scheduleEnd(v *vm, name cyclamendyke.TaskName, r *vmRun) {
	if r.spec.LongRunning {
		return
	}
	kind := cyclamendyke.EndDone
	if sim.fails(name) {
		kind = cyclamendyke.EndFailed
	}
	sim.after(r.duration, func() {
		if v.runs[name] == r && !r.stopping {
			sim.end(v, name, kind)
		}
	})
}

// endGang ends the other members of a run that has ended, done if it was done and broken otherwise.
func (sim *simulation) endGang(name cyclamendyke.TaskName, number int64, kind cyclamendyke.EndKind) {
	key := gangKey{stepOf(name), number}
	gang := sim.gangs[key]
	if gang == nil {
		return
	}
	delete(sim.gangs, key)
	if kind != cyclamendyke.EndDone {
		kind = cyclamendyke.EndGangMemberEnded
	}
	for index := range sim.workflows[name.Workflow].spec.Steps[name.Step].Count {
		other := name
		other.Index = index
		if v := gang.members[other]; other != name && v != nil && v.runs[other] != nil && v.runs[other].number == number {
			sim.end(v, other, kind)
		}
	}
}

// partDone returns the part of a run's whole work that is done.
func (sim *simulation) partDone(r *vmRun) float64 {
	if r.waiting || r.duration <= 0 {
		return r.restored
	}
	elapsed := max(0, sim.now-r.started)
	if r.restored > 0 {
		elapsed = max(0, elapsed-sim.restoreTime)
	}
	return min(1, r.restored+(1-r.restored)*float64(elapsed)/float64(r.duration))
}

// loseWork accounts for a run that did not complete: what its task did not save is lost.
func (sim *simulation) loseWork(name cyclamendyke.TaskName, r *vmRun, kind cyclamendyke.EndKind) {
	lost := max(0, sim.now-r.started)
	if r.waiting {
		lost = 0
	}
	if r.spec.Checkpoints && kind != cyclamendyke.EndFailed {
		sim.saveCheckpoint(name, r)
		lost = 0
	}
	sim.wasted += lost.Seconds() * float64(r.spec.Need.Cores+8000*cyclamendyke.MilliCores(r.spec.Need.Accelerators)) / 1000
}

// saveCheckpoint saves a task's work, for all members of a gang.
func (sim *simulation) saveCheckpoint(name cyclamendyke.TaskName, r *vmRun) {
	done := sim.partDone(r)
	if !r.spec.Gang {
		sim.saved[name] = max(sim.saved[name], done)
		return
	}
	for index := range r.spec.Count {
		member := name
		member.Index = index
		sim.saved[member] = max(sim.saved[member], done)
	}
}
