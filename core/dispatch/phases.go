package dispatch

import (
	"strings"
	"time"

	"cyclamendyke"
)

// phase is what a step spends time on between its release and its end.
type phase int

// The phases. A waiting step is in the last of them that applies to as many targets as its tasks need.
const (
	phaseNone       phase = iota
	phaseEarlier          // Before this epoch.
	phaseSubmission       // The workflow is stored, but the scheduler does not know it yet.
	phasePass             // The next pass.
	phaseTakeover         // The runs of earlier epochs are not known yet.
	phaseLimit            // The team is at its limit.
	phaseRoom             // Targets have no room.
	phaseEvacuated        // The targets with room are in evacuated zones.
	phaseClaimed          // Other steps claim the room.
	phaseHeadroom         // The room is kept for urgent work.
	phaseDisallowed       // Advice does not allow the targets with room.
	phaseAdvice           // Tickets for targets with room are requested.
	phaseStart            // Targets have not confirmed all starts.
	phaseRun              // All tasks run.
	phaseCount
)

var phaseNames = [phaseCount]string{
	"", "earlier", "submission", "pass", "takeover", "limit", "room", "evacuated", "claimed", "headroom", "disallowed", "advice", "start", "run",
}

// phaseTimes is the time spent in each phase.
type phaseTimes [phaseCount]time.Duration

// String lists the phases that took time.
func (p phaseTimes) String() string {
	var parts []string
	for i, spent := range p {
		if spent >= time.Millisecond {
			parts = append(parts, phaseNames[i]+" "+spent.Round(time.Millisecond).String())
		}
	}
	return strings.Join(parts, ", ")
}

// enterPhase adds the time since the last call to the step's phase and sets its next phase.
func (step *stepRun) enterPhase(now time.Duration, next phase) {
	if step.phase != phaseNone {
		step.job.phaseTimes[step.phase] += now - step.phaseSince
	}
	step.phase, step.phaseSince = next, now
}

// enterFirstPhase begins the phases of a workflow that was just submitted to the scheduler.
func (s *Scheduler) enterFirstPhase(j *job) {
	before := phaseSubmission
	if j.inherited {
		before = phaseEarlier
	}
	j.phaseTimes[before] = s.now - j.acceptedAt
	if j.spec.Repeat == 0 {
		s.open(j, 0)
	}
}

// logPhases logs on what a workflow that has become final spent its time, if it is late.
func (s *Scheduler) logPhases(j *job) {
	queue := j.queue(s)
	if queue == nil || j.spec.Repeat > 0 || len(j.spec.Steps) == 0 || j.spec.Steps[0].LongRunning {
		return
	}
	age := s.now - j.acceptedAt
	if age <= s.targetDuration(j, queue) {
		return
	}
	for step := range j.openSteps() {
		step.enterPhase(s.now, phaseNone)
	}
	s.cfg.LogDecision(Decision{
		Event: EventLate, Workflow: j.spec.ID, Age: age, Reason: string(j.spec.Queue) + ": " + j.phaseTimes.String(),
	})
}

// runPhase returns the phase of a step without waiting tasks.
func (step *stepRun) runPhase() phase {
	for _, task := range step.tasks.All() {
		for _, r := range task.runs {
			if r.state == runStarting || r.state == runStartUnknown {
				return phaseStart
			}
		}
	}
	return phaseRun
}

// phaseCheckInterval is the least time between two looks at what a waiting step waits for.
const phaseCheckInterval = 50 * time.Millisecond

// enterWaitPhase updates the phase of a step of which some tasks found no place.
func (s *Scheduler) enterWaitPhase(step *stepRun, queue *cyclamendyke.Queue, unplaced int, noRoom noFitCache) {
	isWaiting := step.phase > phaseTakeover && step.phase < phaseStart
	if isWaiting && s.now-step.phaseSince < phaseCheckInterval {
		return
	}
	step.enterPhase(s.now, s.waitPhase(step, queue, unplaced, noRoom))
}

// waitPhase returns the phase of a step of which some tasks found no place, for a gang all of them.
func (s *Scheduler) waitPhase(step *stepRun, queue *cyclamendyke.Queue, unplaced int, noRoom noFitCache) phase {
	need := step.spec.Reserved()
	if noRoom.has(queue.Service, need) {
		return phaseRoom
	}
	wanted := 1
	if step.spec.Gang {
		wanted = unplaced
	}
	var slots [phaseCount]int
	anyRoom := false
	for _, t := range s.usableByService[queue.Service] {
		if !need.FitsIn(t.free()) {
			continue
		}
		anyRoom = true
		if !s.eligible(step, queue, t) || t.atMaxPerTarget(step) {
			continue
		}
		obstacle := s.obstacle(step, queue, t)
		slots[obstacle] += step.fitCount(t.free(), wanted)
		if slots[phaseAdvice] >= wanted {
			return phaseAdvice
		}
	}
	for _, t := range s.evacuatedByService[queue.Service] {
		if need.FitsIn(t.free()) {
			anyRoom = true
			if s.eligible(step, queue, t) && !t.atMaxPerTarget(step) {
				slots[phaseEvacuated] += step.fitCount(t.free(), wanted)
			}
		}
	}
	if !anyRoom {
		noRoom.add(queue.Service, need)
	}
	found := 0
	for p := phaseAdvice; p > phaseRoom; p-- {
		found += slots[p]
		if found >= wanted {
			return p
		}
	}
	return phaseRoom
}

// obstacle returns what keeps a step's task from a target with room.
func (s *Scheduler) obstacle(step *stepRun, queue *cyclamendyke.Queue, t *target) phase {
	v, hasVerdict := step.advice.verdicts[t.info.ID]
	switch {
	case !step.spec.Reserved().FitsIn(s.available(step, t)):
		return phaseClaimed
	case !s.leavesHeadroom(step, t, nil):
		return phaseHeadroom
	case queue.Advice != nil && hasVerdict && !v.allowed:
		return phaseDisallowed
	default:
		return phaseAdvice
	}
}
