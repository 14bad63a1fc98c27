package dispatch

import "time"

// maxAnswerAgeInDoubt is how old a target's answer may be for a start while a successor is possible; no VM restarts
// in less.
const maxAnswerAgeInDoubt = 300 * time.Millisecond

// SetSuccessorPossible says whether another scheduler may have been elected. While it may, the lease of a
// target that does not answer does not count as over, since the other scheduler may have renewed it, and nothing
// is started on an incarnation of a target that is first seen then, since it may not know the other one's fence.
func (s *Scheduler) SetSuccessorPossible(possible bool) {
	if s.successorPossible && !possible {
		for _, t := range s.targets {
			t.fenceInDoubt = false
		}
	}
	s.successorPossible = possible
}

// haveNotRestarted reports whether the targets are known not to have restarted unnoticed while a successor is
// possible. It asks those that are not; the answer brings the next pass.
func (s *Scheduler) haveNotRestarted(targets ...*target) bool {
	if !s.successorPossible {
		return true
	}
	known := true
	for _, t := range targets {
		if s.now-t.answeredAt > maxAnswerAgeInDoubt {
			s.requestListing(t)
			known = false
		}
	}
	return known
}
