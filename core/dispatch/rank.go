package dispatch

import (
	"cmp"
	"time"

	"cyclamendyke"
)

// uselessFactor is the multiple of its target duration after which a workflow is of no use to its caller
// any more.
const uselessFactor = 3

// rankKey orders the waiting steps; lower comes first.
//
// It decides what runs when the load exceeds the fleet's capacity. Steps that can still be of use
// come first, then those within their team's share, then those of higher priority, then those that
// can still be on time, by deadline.
type rankKey struct {
	useless   bool
	overShare bool // The team had exceeded its share.
	priority  int
	late      bool
	deadline  time.Duration
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(
		cmp.Compare(boolRank(k.useless), boolRank(o.useless)),
		cmp.Compare(boolRank(k.overShare), boolRank(o.overShare)),
		cmp.Compare(k.priority, o.priority),
		cmp.Compare(boolRank(k.late), boolRank(o.late)),
		cmp.Compare(k.deadline, o.deadline),
	)
}

// rank computes the step's rankKey.
func (s *Scheduler) rank(step *stepRun) {
	j := step.job
	queue := j.queue(s)
	if queue == nil {
		step.rankKey = rankKey{useless: true}
		return
	}
	begin := j.acceptedAt
	if j.spec.Repeat > 0 {
		begin = max(begin, step.occ.dueAt)
	}
	if step.spec.LongRunning {
		step.rankKey = rankKey{overShare: j.overShare, priority: queue.Priority, deadline: step.releasedAt + queue.BaseTarget}
		step.haste = -1
		return
	}
	targetDuration, left := s.targetDuration(j, queue), j.graph.PathFrom(step.index)
	step.haste = haste(begin+targetDuration-s.now, left)
	step.rankKey = rankKey{
		useless:   s.now+left > begin+uselessFactor*targetDuration,
		overShare: j.overShare,
		priority:  queue.Priority,
		late:      s.now+left > begin+targetDuration,
		deadline:  begin + targetDuration,
	}
}

// The ratio of the time that a step has left to its critical path at which it is indifferent to the
// speed of targets, and the difference from it at which haste is full.
const (
	relaxedRatio = 3.0
	hasteRange   = 1.0
)

// haste says how much a step gains by a fast target: from 1 for one that is on time only there, to
// -1 for one that is on time anywhere and leaves the fast targets to others.
func haste(left, criticalPath time.Duration) float64 {
	ratio := left.Seconds() / max(0.001, criticalPath.Seconds())
	return max(-1, min(1, (relaxedRatio-ratio)/hasteRange))
}

// targetDuration returns how long an occurrence of a workflow that ends by itself may take to be on time.
func (s *Scheduler) targetDuration(j *job, queue *cyclamendyke.Queue) time.Duration {
	duration := queue.BaseTarget + time.Duration(queue.CriticalPathFactor*float64(j.graph.CriticalPath()))
	if queue.Advice != nil {
		duration += queue.Advice.Base + time.Duration(len(s.targets))*queue.Advice.PerTarget
	}
	return duration
}
