package dispatch

import "cyclamendyke"

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
