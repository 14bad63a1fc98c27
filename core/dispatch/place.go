package dispatch

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
)

// placementPass is what one pass over the waiting steps has found so far.
type placementPass struct {
	noRoom          noFitCache                       // Needs that fit on no target.
	noProjectedRoom noFitCache                       // Needs that fit on none with the room expected soon.
	noRoomNow       noFitCache                       // Needs for which a step waits for room.
	placed          map[*stepRun]bool                // Steps that were placed ahead of their rank.
	reserveAttempts map[cyclamendyke.ServiceName]int // Steps for which room to reserve was looked for.
	victims         map[victimKey]bool
	began           time.Duration // On the clock of Config.PassTime.
	timeUsed        float64       // Part of maxPassTime that was used at the last look at the clock.
	steps           int           // Steps that were looked at.
}

// victimKey names the runs that steps of a priority may preempt in a service.
type victimKey struct {
	service  cyclamendyke.ServiceName
	priority int
}

// The limits of one pass. What it does not reach is left to the next ones.
const (
	maxPassTime   = 150 * time.Millisecond // For placing; the rest of a pass costs what targets and runs there are.
	maxPassStarts = 512                    // Requests to start a run.
	maxWaiting    = 256                    // Tasks of one step that it looks at, and as many suspected ones; a gang is placed whole.
	stepsPerCheck = 16                     // Steps between two looks at the clock.
)

// placeAll starts the tasks that can start, in order of rank. If that takes too long for one pass, each following one begins with
// the highest ranks again, and uses the second half of its limits to go on where the last one ended.
func (s *Scheduler) placeAll() {
	s.expireClaims()
	s.projectFree()
	pass := &placementPass{
		noRoom: noFitCache{}, noProjectedRoom: noFitCache{}, noRoomNow: noFitCache{}, victims: map[victimKey]bool{},
		placed: map[*stepRun]bool{}, reserveAttempts: map[cyclamendyke.ServiceName]int{},
	}
	steps := s.active.sorted(s.rank)
	resumed := slices.Index(steps, s.resumeAt)
	s.resumeAt = nil
	s.passStarts = 0
	if s.cfg.PassTime != nil {
		pass.began = s.cfg.PassTime()
	}
	s.placeHolders(pass)
	for i := 0; i < len(steps); i++ {
		used := s.passUsed(pass)
		switch {
		case resumed > i && used >= 0.5:
			i, resumed = resumed, -1 // This step is placed in any case, so that each pass comes further.
		case used >= 1:
			s.resumeAt = steps[i]
			return
		}
		if !pass.placed[steps[i]] {
			s.place(steps[i], pass)
		}
	}
}

// placeHolders places the steps that have reserved room before all others, so that what is free by now goes to them.
func (s *Scheduler) placeHolders(pass *placementPass) {
	for _, service := range slices.Sorted(maps.Keys(s.lines)) {
		step, isHeld := s.lines[service].Holder()
		switch {
		case !isHeld:
		case !step.active:
			s.dropClaims(step)
			s.lines[service].Leave(step)
		case step.claimsAreFree():
			pass.placed[step] = true
			s.place(step, pass)
		}
	}
}

// place starts what can start of a step's tasks.
func (s *Scheduler) place(step *stepRun, pass *placementPass) {
	queue := step.job.queue(s)
	if queue == nil || s.service(queue.Service) == nil {
		return
	}
	if waiting := s.placeable(step, queue); len(waiting) > 0 {
		s.placeStep(step, queue, waiting, pass)
	}
}

// passUsed returns how much of its limits the present pass has used before its next step; one and more is all.
func (s *Scheduler) passUsed(pass *placementPass) float64 {
	if s.cfg.PassTime != nil && pass.steps > 0 && pass.steps%stepsPerCheck == 0 {
		pass.timeUsed = float64(s.cfg.PassTime()-pass.began) / float64(maxPassTime)
	}
	pass.steps++
	return max(pass.timeUsed, float64(s.passStarts)/maxPassStarts)
}

// placeable returns the tasks of a step that wait for nothing but a target.
func (s *Scheduler) placeable(step *stepRun, queue *cyclamendyke.Queue) []int {
	waiting := s.startableTasks(step)
	if len(waiting) == 0 {
		s.leaveLine(step, queue)
		step.enterPhase(s.now, step.runPhase())
		s.prefetchAdvice(step)
		s.startSpeculative(step, queue)
		s.moveLagging(step)
		return nil
	}
	if step.job.inherited && !s.earlierRunsKnown && (!s.unlistedRunsEnded || !step.outlivesEnds()) {
		step.enterPhase(s.now, phaseTakeover)
		s.wantAdviceInTakeover(step, queue, len(waiting))
		return nil
	}
	admitted := s.admitted(step, waiting)
	if len(admitted) == 0 {
		step.unplacedSince = 0
		s.leaveLine(step, queue)
		step.enterPhase(s.now, phaseLimit)
		s.logUnplaced(step, "team limit reached")
	}
	return admitted
}

// placeStep starts those of a step's waiting tasks that find a target, and makes room for the others.
func (s *Scheduler) placeStep(step *stepRun, queue *cyclamendyke.Queue, waiting []int, pass *placementPass) {
	trusted, suspected := step.splitSuspected(waiting)
	step.needsStable, step.hasSuspects = false, len(suspected) > 0
	unplaced := len(waiting)
	switch {
	case queue.Advice == nil && len(step.claims) == 0 && pass.noRoom.has(queue.Service, step.spec.Reserved()):
		s.logUnplaced(step, "no room")
	case step.spec.Gang:
		unplaced = s.placeGang(step, queue, len(suspected) > 0)
	default:
		unplaced = s.placeTasks(step, queue, trusted) + s.placeSuspected(step, queue, suspected)
	}
	if unplaced == 0 {
		step.enterPhase(s.now, phaseStart)
		step.unplacedSince = 0
		s.leaveLine(step, queue)
		s.prefetchAdvice(step)
		return
	}
	if step.unplacedSince == 0 {
		step.unplacedSince = s.now
	}
	s.enterWaitPhase(step, queue, unplaced, pass.noRoomNow)
	if queue.Advice == nil && len(step.claims) == 0 && !s.fitsAnywhere(step, queue) {
		pass.noRoom.add(queue.Service, step.spec.Reserved())
	}
	switch {
	case len(suspected) == 0:
		s.makeRoom(step, queue, unplaced, pass)
	case s.now-step.unplacedSince > s.trialReserveDelay(step, queue):
		s.takeTurn(step, queue, pass) // Nothing is stopped for a task that may crash its target.
	}
	s.wantMissingTickets(step, queue, unplaced, pass.noProjectedRoom)
}

// service returns the settings of a service, or nil if the configuration does not name it or has not come.
func (s *Scheduler) service(name cyclamendyke.ServiceName) *cyclamendyke.Service {
	if s.fleet == nil {
		return nil
	}
	for i := range s.fleet.Services {
		if s.fleet.Services[i].Name == name {
			return &s.fleet.Services[i]
		}
	}
	return nil
}

// startableTasks returns the indexes of tasks that are not done and have no run: all of a gang, and the first maxWaiting of other
// steps, suspected ones apart. It leaves out tasks in unlistedTasks and those with crashes that the next epoch would not know of, and
// a whole gang if one of its tasks is among them.
func (s *Scheduler) startableTasks(step *stepRun) []int {
	var out []int
	suspected := 0
	for i := range step.waiting.All() {
		if !step.spec.Gang && len(out)-suspected >= maxWaiting {
			break
		}
		if !step.crashesStored(i) {
			if step.spec.Gang {
				return nil
			}
			continue
		}
		if len(s.unlistedTasks) > 0 && s.unlistedTasks[step.taskName(i)] {
			if step.spec.Gang {
				return nil
			}
			continue
		}
		if !step.spec.Gang && step.isSuspected(i) {
			if suspected >= maxWaiting {
				continue
			}
			suspected++
		}
		out = append(out, i)
	}
	return out
}

// admitted returns those of a step's waiting tasks that its team's limit admits, for a gang all or
// none. The others must not take room or advice from steps that can start.
func (s *Scheduler) admitted(step *stepRun, waiting []int) []int {
	team, need := s.team(step.job.spec.Team), step.spec.Reserved()
	if step.spec.Gang {
		if !team.admits(need.Scale(int64(len(waiting)))) {
			return nil
		}
		return waiting
	}
	count := 0
	for count < len(waiting) && team.admits(need.Scale(int64(count+1))) {
		count++
	}
	return waiting[:count]
}

func (step *stepRun) taskName(index int) cyclamendyke.TaskName {
	return cyclamendyke.TaskName{Workflow: step.job.spec.ID, Occurrence: step.occ.number, Step: step.index, Index: index}
}

// placeTasks starts the waiting tasks one by one and returns how many it could not place. Those that wait only for
// their targets' answers count as placed.
func (s *Scheduler) placeTasks(step *stepRun, queue *cyclamendyke.Queue, waiting []int) int {
	targets := s.candidates(step, queue)
	asked := plan{}
	for n, index := range waiting {
		best := s.bestTarget(step, targets, step.avoidedTarget(index), asked)
		if best == nil && s.hasAwaiting(step, targets) {
			s.logUnplaced(step, "targets with room have many starts to answer")
			return 0
		}
		if best == nil {
			s.logUnplaced(step, "no target with room and a ticket")
			return len(waiting) - n
		}
		if !s.haveNotRestarted(best) {
			asked[best]++
			continue
		}
		s.start(step, index, best, s.nextRunNumber())
	}
	return 0
}

// awaitsOutcomes reports whether nothing more is started on a target before requests that were sent have their outcome.
func (s *Scheduler) awaitsOutcomes(t *target) bool {
	return t.startsSent >= maxStartsSent || s.lacksAck(t)
}

// hasAwaiting reports whether a target has room for a task of the step, and only awaits outcomes.
func (s *Scheduler) hasAwaiting(step *stepRun, targets []*target) bool {
	return slices.ContainsFunc(targets, func(t *target) bool {
		return s.awaitsOutcomes(t) && !s.lags(t) && s.fitsNow(step, t, 0) && s.leavesHeadroom(step, t, nil)
	})
}

// logUnplaced logs why a step's tasks wait, whenever the reason changes.
func (s *Scheduler) logUnplaced(step *stepRun, reason string) {
	if step.phase == phaseEvacuated {
		reason = "targets with room are in evacuated zones"
	}
	if step.unplacedReason == reason {
		return
	}
	step.unplacedReason = reason
	s.cfg.LogDecision(Decision{Event: EventUnplaced, Workflow: step.job.spec.ID, Task: step.name().String(), Reason: reason})
}

func (s *Scheduler) nextRunNumber() int64 {
	s.lastRunNumber++
	return s.lastRunNumber
}

// placeGang starts all members of a gang or none, a suspected one apart from other work, and returns how many
// found no room.
func (s *Scheduler) placeGang(step *stepRun, queue *cyclamendyke.Queue, suspected bool) int {
	for _, member := range step.tasks.All() {
		if len(member.runs) > 0 {
			return 0 // Members of an earlier run are still running or stopping.
		}
	}
	count := step.spec.Count
	if suspected {
		members := make([]int, count)
		for i := range members {
			members[i] = i
		}
		if s.tryApart(step, queue, members) {
			return 0
		}
		return count
	}
	planned, chosen := plan{}, make([]*target, 0, count)
	targets := s.candidates(step, queue)
	for range count {
		t := s.bestTarget(step, targets, "", planned)
		if t == nil {
			s.logUnplaced(step, "too few targets with room and a ticket for the whole gang")
			return count
		}
		planned[t]++
		chosen = append(chosen, t)
	}
	if !s.haveNotRestarted(chosen...) {
		return 0
	}
	number := s.nextRunNumber()
	for i, t := range chosen {
		s.start(step, i, t, number)
	}
	return 0
}
