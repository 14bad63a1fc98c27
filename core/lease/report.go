package lease

import (
	"time"

	"cyclamendyke"
)

// Report is a member's sightings as it tells them to another one.
type Report struct {
	Rounds []RoundReport                          `json:"rounds"`
	Silent map[cyclamendyke.TargetID]SilentReport `json:"silent,omitempty"`
}

// RoundReport is a round in a report.
type RoundReport struct {
	Round
	Age time.Duration `json:"age-ns"` // Time since the member saw it.
}

// SilentReport is an entry of the list of silent targets in a report.
type SilentReport struct {
	Serial     int64 `json:"serial"`
	LeftMillis int64 `json:"lease-left-ms"` // Negative once the leases are over.
}

// Report returns the sightings for another member.
func (s *Sightings) Report(now time.Duration) Report {
	report := Report{Silent: make(map[cyclamendyke.TargetID]SilentReport, len(s.silent))}
	for _, seen := range []roundSighting{s.last, s.earlier} {
		report.Rounds = append(report.Rounds, RoundReport{seen.round, now - seen.seenAt})
	}
	for id, seen := range s.silent {
		report.Silent[id] = SilentReport{seen.serial, ceilMillis(seen.end - now)}
	}
	return report
}

// Merge takes another member's report into account, which arrived now: what it has seen earlier was stored earlier.
func (s *Sightings) Merge(report Report, now time.Duration) {
	for _, told := range report.Rounds {
		if told.Round == s.last.round {
			s.last.seenAt = min(s.last.seenAt, now-told.Age)
		}
	}
	for id, told := range report.Silent {
		if known, isKnown := s.silent[id]; isKnown && known.serial == told.Serial {
			known.end = min(known.end, now+time.Duration(told.LeftMillis)*time.Millisecond)
			s.silent[id] = known
		}
	}
}
