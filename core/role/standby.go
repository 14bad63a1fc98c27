package role

import (
	"time"

	"cyclamendyke"
)

// tickStandby asks the store for its lease, and begins a candidacy if the store is unreachable.
func (r *Role) tickStandby(now time.Time) []cyclamendyke.RoleCommand {
	var commands []cyclamendyke.RoleCommand
	if r.storeUnreachable(now) && r.mayBeginCandidacy(now) {
		commands = append(commands, r.beginCandidacy(now)...)
	}
	if now.Before(r.nextElection) || len(r.workers.names) == 0 {
		return commands
	}
	interval := electInterval
	if r.storeUnreachable(now) {
		interval = r.config.StoreLeaseTTL // Lets a holder with authority reach the store first when it is back.
	}
	r.nextElection = now.Add(interval + r.jitter(interval/2))
	return append(commands, cyclamendyke.ElectCommand{
		MinTerm: nextBlockStart(max(r.record.Epoch.Term, r.maxFence.Term)),
		TTL:     r.config.StoreLeaseTTL,
		Roster:  r.currentRoster(),
	})
}

func (r *Role) storeUnreachable(now time.Time) bool {
	return now.Sub(r.lastStoreAnswer) >= r.config.StoreLeaseTTL
}

// mayBeginCandidacy reports whether a term may begin without the store: the last recorded term, whose
// roster it must use, has to be known.
func (r *Role) mayBeginCandidacy(now time.Time) bool {
	return len(r.record.Roster) > 0 && !r.recordStale && !now.Before(r.nextCandidacy)
}

// beginCandidacy begins a term without the store by claiming a few workers first.
func (r *Role) beginCandidacy(now time.Time) []cyclamendyke.RoleCommand {
	highest := max(r.record.Epoch.Term, r.maxFence.Term)
	r.term = &term{
		epoch:            cyclamendyke.Epoch{Term: highest + 1, Owner: r.config.Member},
		roster:           r.record.Roster,
		earlierRosters:   r.record.EarlierRosters,
		established:      r.record.Established,
		probing:          true,
		mode:             cyclamendyke.SessionHeld,
		sessions:         sessionTable{},
		fenced:           map[cyclamendyke.WorkerName]bool{},
		noAuthoritySince: now,
	}
	return r.claimMissingSessions(now)
}

// electionWon begins the term that the store granted, or extends the lease of the present term.
func (r *Role) electionWon(now, sent time.Time, current cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.updateRecord(now, current)
	until := sent.Add(r.config.StoreLeaseTTL - r.config.ClockMargin)
	if t := r.term; t != nil && current.Epoch == t.epoch {
		t.recorded = true
		if !now.Before(t.storeLeaseUntil) {
			t.storeSteadySince = now
		}
		t.storeLeaseUntil = later(t.storeLeaseUntil, until)
		return r.updateAuthority(now, "store lease")
	}
	usable := now.Before(until) && current.Epoch.Owner == r.config.Member && current.Epoch.Term == blockStart(current.Epoch.Term)
	if !usable {
		return releaseUnusableLease(cyclamendyke.ElectionWon, current)
	}
	return r.beginTerm(now, until, current)
}

// beginTerm begins a term that the store granted and claims its workers.
func (r *Role) beginTerm(now, until time.Time, record cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	var commands []cyclamendyke.RoleCommand
	if r.term != nil {
		if record.Epoch.Compare(r.term.epoch) < 0 {
			return nil
		}
		commands = r.stepDown(now, "a new term of its own", 0)
	}
	r.term = &term{
		epoch:            record.Epoch,
		roster:           record.Roster,
		earlierRosters:   record.EarlierRosters,
		recorded:         true,
		mode:             cyclamendyke.SessionPreemptible,
		storeLeaseUntil:  until,
		storeSteadySince: now,
		sessions:         sessionTable{},
		fenced:           map[cyclamendyke.WorkerName]bool{},
		noAuthoritySince: now,
		nextRenewal:      now.Add(r.config.StoreLeaseTTL / 4),
	}
	return append(commands, r.claimMissingSessions(now)...)
}

// electionLost ends the term if the store records a later one; otherwise it records the epoch again if no
// other process has the store's lease.
func (r *Role) electionLost(now time.Time, current cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.updateRecord(now, current)
	t := r.term
	if t == nil {
		return nil
	}
	if current.Epoch.Compare(t.epoch) > 0 {
		return r.stepDown(now, "the store names a later term", r.config.StoreLeaseTTL)
	}
	t.recorded = false
	if current.Epoch.IsZero() || current.Epoch.Owner == r.config.Member {
		return r.recordEpoch(now)
	}
	return nil
}

// recordEpoch asks the store to record the epoch of the present term, with a lease.
func (r *Role) recordEpoch(now time.Time) []cyclamendyke.RoleCommand {
	r.term.nextRenewal = now.Add(r.config.StoreLeaseTTL / 4)
	return []cyclamendyke.RoleCommand{cyclamendyke.ElectCommand{
		TTL:    r.config.StoreLeaseTTL,
		Roster: r.term.roster,
		Keep:   r.term.epoch,
	}}
}
