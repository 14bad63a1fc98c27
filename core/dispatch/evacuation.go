package dispatch

import (
	"fmt"
	"slices"

	"cyclamendyke"
)

// SetEvacuated sets the availability zones in which operators want nothing started, and reports whether they
// have changed. What runs there goes on.
func (s *Scheduler) SetEvacuated(zones ...cyclamendyke.ZoneName) bool {
	before := s.evacuatedZones
	s.evacuatedZones = map[cyclamendyke.ZoneName]bool{}
	for _, zone := range zones {
		s.evacuatedZones[zone] = true
	}
	changed := false
	for _, zone := range zones {
		if !before[zone] {
			changed = true
			s.logEvacuation(zone, "evacuated")
		}
	}
	for zone := range before {
		if !s.evacuatedZones[zone] {
			changed = true
			s.logEvacuation(zone, "taken back")
		}
	}
	if changed {
		s.dropEvacuatedClaims()
	}
	return changed
}

// HoldStarts says whether nothing may be started at all, because it is not known which zones are evacuated.
func (s *Scheduler) HoldStarts(held bool) {
	if held == s.startsHeld {
		return
	}
	s.startsHeld = held
	reason := "starts go on"
	if held {
		reason = "nothing is started: the evacuated zones are not known"
	}
	s.cfg.LogDecision(Decision{Event: EventEvacuation, Count: len(s.targets), Reason: reason})
}

// evacuated reports whether nothing may be started on a target because of its zone.
func (s *Scheduler) evacuated(t *target) bool {
	return s.startsHeld || s.evacuatedZones[t.info.Zone]
}

// logEvacuation logs a change of one zone with its number of targets, and whether any target of another zone
// is left.
func (s *Scheduler) logEvacuation(zone cyclamendyke.ZoneName, change string) {
	inZone, left := 0, 0
	for _, t := range s.targets {
		if t.info.Zone == zone {
			inZone++
		}
		if !s.evacuated(t) {
			left++
		}
	}
	reason := fmt.Sprintf("zone %s is %s", zone, change)
	switch {
	case inZone == 0:
		reason += "; no target is in it"
	case left == 0:
		reason += "; no target is left, nothing is started"
	}
	s.cfg.LogDecision(Decision{Event: EventEvacuation, Count: inZone, Reason: reason})
}

// dropEvacuatedClaims drops the claims on targets in evacuated zones, for a gang all of its claims, so that
// the steps look for room elsewhere at once.
func (s *Scheduler) dropEvacuatedClaims() {
	for _, c := range slices.Clone(s.claims) {
		if !s.evacuated(c.target) || s.now >= c.until {
			continue
		}
		c.step.preemptedUntil = 0
		if c.step.spec.Gang {
			s.dropClaims(c.step)
			continue
		}
		c.until = s.now
		c.detach()
	}
}
