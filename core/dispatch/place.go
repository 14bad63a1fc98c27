package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// eligible reports whether the step's tasks may run on a target at all.
func (s *Scheduler) eligible(step *stepRun, queue *cyclamendyke.Queue, t *target) bool {
	return t.info.Service == queue.Service &&
		(step.spec.Label == "" || slices.Contains(t.info.Labels, step.spec.Label)) &&
		step.spec.Reserved().FitsIn(t.info.Capacity)
}

// usable reports whether anything may be started on a target now.
func (s *Scheduler) usable(t *target) bool {
	return t.present && t.listed && !t.over && !t.closed && !t.info.Draining && !t.failing && len(t.foreign) == 0 &&
		s.now >= t.blocked && s.now-t.heardAt <= silentAfter
}

// available returns the room of a target that no other step claims.
func (s *Scheduler) available(step *stepRun, t *target) cyclamendyke.Resources {
	free := t.free()
	for _, c := range t.claims {
		if c.step != step && s.now < c.until {
			free = free.Sub(c.need)
		}
	}
	return free
}

// placeAll starts what can start, in order.
func (s *Scheduler) placeAll() {
	s.expireClaims()
	gangClaims := 0
	s.countRoom()
	full, taken := exhausted{}, exhausted{}
	for _, step := range s.active.inOrder(s.rank) {
		queue := step.job.queue(s)
		if queue == nil || s.service(queue.Service) == nil {
			continue
		}
		waiting := s.waiting(step)
		if len(waiting) == 0 {
			s.askAhead(step)
			s.copySlow(step, queue)
			continue
		}
		if step.job.inherited && !s.settled {
			s.askFirst(step, queue)
			continue
		}
		left := len(waiting)
		switch {
		case queue.Advice == nil && full.has(queue.Service, step.spec.Reserved()):
			s.unplaced(step, "no room")
		case step.spec.Gang:
			left = s.placeGang(step, queue)
		default:
			left = s.placeTasks(step, queue, waiting)
		}
		if left == 0 {
			s.dropClaims(step)
			s.askAhead(step)
			continue
		}
		if queue.Advice == nil && step.claims == 0 && !s.fitsAnywhere(step, queue) {
			full.add(queue.Service, step.spec.Reserved())
		}
		s.makeRoom(step, queue, left, &gangClaims)
		s.askAgain(step, queue, left, taken)
	}
}

func (s *Scheduler) service(name cyclamendyke.ServiceName) *cyclamendyke.Service {
	for i := range s.fleet.Services {
		if s.fleet.Services[i].Name == name {
			return &s.fleet.Services[i]
		}
	}
	return nil
}

// waiting returns the tasks that may start now.
func (s *Scheduler) waiting(step *stepRun) []int {
	var out []int
	for i := range step.tasks {
		t := &step.tasks[i]
		if t.done || len(t.runs) > 0 {
			continue
		}
		if len(s.shadowed) > 0 && s.shadowed[step.taskName(i)] {
			if step.spec.Gang {
				return nil
			}
			continue
		}
		out = append(out, i)
	}
	return out
}

func (step *stepRun) taskName(index int) cyclamendyke.TaskName {
	return cyclamendyke.TaskName{Workflow: step.job.spec.ID, Occurrence: step.occ.number, Step: step.index, Index: index}
}

// placeTasks starts tasks one by one and returns how many are left.
func (s *Scheduler) placeTasks(step *stepRun, queue *cyclamendyke.Queue, waiting []int) int {
	need := step.spec.Reserved()
	among := s.candidates(step, queue)
	for n, index := range waiting {
		if !s.team(step.job.spec.Team).admits(need) {
			s.unplaced(step, "the team's limit")
			return len(waiting) - n
		}
		best := s.best(step, among, step.tasks[index].avoid, nil)
		if best == nil {
			s.unplaced(step, "no room with a ticket")
			return len(waiting) - n
		}
		s.start(step, index, best, s.nextRun())
	}
	return 0
}

// unplaced notes why a step's tasks wait, once for each reason.
func (s *Scheduler) unplaced(step *stepRun, reason string) {
	if step.noted == reason {
		return
	}
	step.noted = reason
	s.cfg.Decision(Decision{Event: EventUnplaced, Workflow: step.job.spec.ID, Task: step.name().String(), Reason: reason})
}

func (s *Scheduler) nextRun() int64 {
	s.lastRun++
	return s.lastRun
}

// plan is a tentative placement of a gang's members.
type plan map[*target]int

// candidates returns the targets on which the step's tasks may start now, if they fit; where tickets are needed, they are few.
func (s *Scheduler) candidates(step *stepRun, queue *cyclamendyke.Queue) []*target {
	var out []*target
	if queue.Advice == nil {
		for _, t := range s.ready[queue.Service] {
			if s.eligible(step, queue, t) {
				out = append(out, t)
			}
		}
		return out
	}
	if s.now >= step.advice.until {
		return nil
	}
	for id, v := range step.advice.verdicts {
		t := s.targets[id]
		if v.good && s.now < v.expires && t != nil && s.usable(t) && s.eligible(step, queue, t) {
			out = append(out, t)
		}
	}
	return out
}

// best returns the target among candidates for one more task of the step, on top of a plan, or nil.
func (s *Scheduler) best(step *stepRun, among []*target, avoid cyclamendyke.TargetID, planned plan) *target {
	var best, avoided *target
	var bestScore float64
	for _, t := range among {
		if !s.fitsNow(step, t, planned[t]) {
			continue
		}
		if t.info.ID == avoid {
			avoided = t
			continue
		}
		score := s.score(step, t, planned)
		if best == nil || score < bestScore || score == bestScore && t.info.ID < best.info.ID {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// fitsNow reports whether one more task of the step fits on a target beside planned others.
func (s *Scheduler) fitsNow(step *stepRun, t *target, planned int) bool {
	if most := step.spec.MaxPerTarget; most > 0 && t.tasksOf(step)+planned >= most {
		return false
	}
	need := step.spec.Reserved().Scale(int64(planned + 1))
	return need.FitsIn(s.available(step, t))
}

// tasksOf counts the runs of a step on a target.
func (t *target) tasksOf(step *stepRun) int {
	count := 0
	for _, r := range t.runs {
		if r.step == step {
			count++
		}
	}
	return count
}

// full reports whether a target has as many of a step's tasks as it may.
func (t *target) full(step *stepRun) bool {
	return step.spec.MaxPerTarget > 0 && t.tasksOf(step) >= step.spec.MaxPerTarget
}

// The weights of a target's score, in parts of a whole target's cores.
const (
	farWeight     = 4.0 // Away from the data.
	sharingWeight = 1.0 // A serving task beside fillers, or the reverse.
	rackWeight    = 2.0 // A gang's member on another rack.
	gpuWeight     = 1.0 // Accelerators left over.
)

// score rates a target for a task; lower is better. Tight fits leave whole room for wide tasks.
func (s *Scheduler) score(step *stepRun, t *target, planned plan) float64 {
	need := step.spec.Reserved()
	left := t.free().Sub(need.Scale(int64(planned[t] + 1)))
	score := float64(left.Cores) / float64(max(1, t.info.Capacity.Cores))
	if t.info.Capacity.Accelerators > 0 {
		score += gpuWeight * float64(left.Accelerators) / float64(t.info.Capacity.Accelerators)
	}
	if step.spec.Rack != "" && !slices.Contains(t.info.Labels, step.spec.Rack) {
		score += farWeight
	}
	if step.spec.SameRack && len(planned) > 0 && !planned.shareRack(t) {
		score += rackWeight
	}
	serving, filling := step.spec.LatencyTarget > 0, step.spec.Filler
	for _, r := range t.runs {
		if serving && r.step.spec.Filler || filling && r.step.spec.LatencyTarget > 0 {
			score += sharingWeight
		}
	}
	if filling {
		score += float64(t.tasksOf(step)) / float64(max(1, len(step.tasks))) // Fillers share what is idle.
	}
	return score
}

// shareRack reports whether a target has a label in common with all planned ones, beyond their kind.
func (p plan) shareRack(t *target) bool {
	for other := range p {
		if rackOf(other) != rackOf(t) {
			return false
		}
	}
	return true
}

// rackOf returns the last label, which names the rack.
func rackOf(t *target) string {
	if len(t.info.Labels) == 0 {
		return ""
	}
	return t.info.Labels[len(t.info.Labels)-1]
}

// placeGang starts all members of a gang, or none, and returns how many are left.
func (s *Scheduler) placeGang(step *stepRun, queue *cyclamendyke.Queue) int {
	for i := range step.tasks {
		if len(step.tasks[i].runs) > 0 {
			return 0 // Members of an earlier run are still there.
		}
	}
	count := len(step.tasks)
	if !s.team(step.job.spec.Team).admits(step.spec.Reserved().Scale(int64(count))) {
		s.unplaced(step, "the team's limit")
		return count
	}
	planned, chosen := plan{}, make([]*target, 0, count)
	among := s.candidates(step, queue)
	for range count {
		t := s.best(step, among, "", planned)
		if t == nil {
			s.unplaced(step, "no room with tickets for the whole gang")
			return count
		}
		planned[t]++
		chosen = append(chosen, t)
	}
	number := s.nextRun()
	for i, t := range chosen {
		s.start(step, i, t, number)
	}
	return 0
}

// start reserves the room for a run and orders it.
func (s *Scheduler) start(step *stepRun, index int, t *target, number int64) {
	task := &step.tasks[index]
	r := &run{
		step: step, index: index, number: number, target: t, state: runStarting,
		started: s.now, checkpoint: task.checkpoint, pace: fullPace,
	}
	s.reserve(r)
	queue := step.job.queue(s)
	ticket, _ := step.ticket(queue, t, s.now)
	until := s.lease(t)
	t.until = max(t.until, until)
	step.noted = ""
	s.cfg.Decision(Decision{
		Event: EventPlaced, Workflow: step.job.spec.ID, Task: r.name().String(), Target: t.info.ID, Run: number,
		Age: s.now - t.heardAt, Reason: "after " + (s.now - step.since).Round(time.Millisecond).String(),
	})
	s.emit(StartCommand{Target: t.info, Order: cyclamendyke.StartOrder{
		Task: r.name(), Run: number, Spec: step.job.spec.Spec, Until: until, Fence: s.cfg.Epoch,
		Checkpoint: task.checkpoint, Ticket: ticket,
	}})
}

// refusedFor is how long a target is left alone after it refused a start.
const refusedFor = 300 * time.Millisecond

// Started takes in the answer to a start; kind is empty if the target accepted it.
func (s *Scheduler) Started(info cyclamendyke.Target, order cyclamendyke.StartOrder, kind cyclamendyke.Kind) {
	t := s.targets[info.ID]
	if t == nil {
		return
	}
	if kind == cyclamendyke.KindFenced {
		s.deposed = true
		return
	}
	r := t.runs[runKey{order.Task, order.Run}]
	if r == nil || r.state != runStarting {
		return
	}
	switch kind {
	case "":
		t.heardAt = s.now
		r.state = runRunning
		r.confirmed, r.moved = s.now, s.now
		r.step.job.began = true
		s.paceNew(r)
	case cyclamendyke.KindUnknown:
		s.doubt(r)
	default:
		s.refused(r, kind)
	}
}

// doubt notes that a start may have been carried out or may be yet.
func (s *Scheduler) doubt(r *run) {
	r.state = runDoubted
	s.cfg.Decision(Decision{Event: EventDoubt, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: r.target.info.ID, Run: r.number})
	if !r.target.listed {
		s.stop(r, "start in doubt")
		return
	}
	r.started = s.now
	s.look(r.target)
}

// refused takes back a run that its target did not start.
func (s *Scheduler) refused(r *run, kind cyclamendyke.Kind) {
	t := r.target
	s.cfg.Decision(Decision{Event: EventRefused, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: t.info.ID, Run: r.number, Reason: string(kind)})
	s.release(r)
	if kind == cyclamendyke.KindBadTicket {
		delete(r.step.advice.verdicts, t.info.ID)
	} else {
		t.blocked = max(t.blocked, s.now+refusedFor)
		s.look(t)
	}
	if r.step.spec.Gang {
		for i := range r.step.tasks {
			for _, other := range r.step.tasks[i].runs {
				s.stop(other, "a member of the gang was refused")
			}
		}
	}
}
