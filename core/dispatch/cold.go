package dispatch

// coldSlowness is the slowness that a cold target is taken to have besides its own: it takes twice as long.
const coldSlowness = 0.7

// slowness returns the logarithm of a target's run times relative to other targets, as far as it is known.
func (s *Scheduler) slowness(t *target) float64 {
	if s.now < t.coldUntil {
		return t.speed.slowness + coldSlowness
	}
	return t.speed.slowness
}
