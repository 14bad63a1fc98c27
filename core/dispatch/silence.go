package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// silence is a target that stopped answering.
type silence struct {
	target  cyclamendyke.TargetID
	service cyclamendyke.ServiceName
	rack    string
	from    time.Duration // When it was last known to work.
	at      time.Duration // When the first request failed.
	// explained says that a task had just been started there, or was being tried, so that the silence does not
	// speak for a cause that it has in common with others.
	explained bool
}

// The rules for taking silences for one failure of a rack, of power or of the network.
const (
	sameMoment       = 100 * time.Millisecond
	commonRackShare  = 0.5 // Part of a rack that fails at the same moment.
	commonFleetShare = 0.1 // Part of a service's targets that fails at the same moment.
	minCommonRack    = 2   // Targets, the first included.
	minCommonFleet   = 3
	silenceRetention = time.Minute
)

// noteSilence notes that a target has stopped answering; broken says that a connection was cut off while the
// target held a request, so that it worked until now.
func (s *Scheduler) noteSilence(t *target, broken bool) {
	t.workedUntil, t.silentAt = t.answeredAt, s.now
	if broken {
		t.workedUntil = s.now
	}
	s.silences = slices.DeleteFunc(s.silences, func(old silence) bool {
		return old.target == t.info.ID || s.now-old.at > silenceRetention
	})
	if !t.listed {
		return // Nothing tells for how long it has been silent.
	}
	s.silences = append(s.silences, silence{
		target: t.info.ID, service: t.info.Service, rack: rackOf(t), from: t.workedUntil, at: s.now,
		explained: t.trial != nil && t.trial.began || t.workedUntil-t.lastStartAt < crash.QuickCrash,
	})
}

// endSilence forgets the silence of a target whose present incarnation answers.
func (s *Scheduler) endSilence(t *target) {
	s.silences = slices.DeleteFunc(s.silences, func(old silence) bool { return old.target == t.info.ID })
}

// overlaps reports whether two targets may have fallen silent in the same moment.
func (a silence) overlaps(b silence) bool {
	return a.from-sameMoment <= b.at && b.from-sameMoment <= a.at
}

// coincides reports whether two targets are known to have fallen silent in the same moment.
func (a silence) coincides(b silence) bool {
	return a.overlaps(b) && a.from == a.at && b.from == b.at
}

// failedTogether returns how many other targets fell silent in the same moment as a target without a task that
// explains it, if they are so many that no task can be the cause, and zero otherwise.
func (s *Scheduler) failedTogether(t *target) int {
	index := slices.IndexFunc(s.silences, func(other silence) bool { return other.target == t.info.ID })
	if index < 0 {
		return 0
	}
	own := s.silences[index]
	inRack, inFleet := 1, 1
	for _, other := range s.silences {
		if other.target == own.target || other.explained {
			continue
		}
		if other.rack == own.rack && own.rack != "" && own.overlaps(other) {
			inRack++
		}
		if other.service == own.service && own.coincides(other) {
			inFleet++
		}
	}
	rackSize, fleetSize := 0, 0
	for _, other := range s.targets {
		if rackOf(other) == own.rack {
			rackSize++
		}
		if other.info.Service == own.service {
			fleetSize++
		}
	}
	isRack := inRack >= minCommonRack && float64(inRack) >= commonRackShare*float64(rackSize)
	isFleet := inFleet >= minCommonFleet && float64(inFleet) >= commonFleetShare*float64(fleetSize)
	if !isRack && !isFleet {
		return 0
	}
	return max(inRack, inFleet) - 1
}
