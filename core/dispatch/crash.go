package dispatch

// targetEnded handles the proof that a target's incarnation has ended; reason says what proves it. An end
// before which it did not drain is a crash. Silence proves nothing: a cut or a frozen process looks the same.
func (s *Scheduler) targetEnded(t *target, reason string) {
	if t.expired || t.info.Draining || t.wasDraining {
		return
	}
	s.cfg.LogDecision(Decision{
		Event: EventTargetCrashed, Target: t.info.ID, Reason: reason, Count: len(t.runs), Age: s.now - t.answeredAt,
	})
}
