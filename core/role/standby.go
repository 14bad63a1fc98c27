package role

import (
	"time"

	"cyclamendyke"
)

// tickStandby tries for the store's lease, and for the workers' sessions when the store has not answered for long.
func (r *Role) tickStandby(now time.Time) []cyclamendyke.RoleCommand {
	var commands []cyclamendyke.RoleCommand
	if r.storeAway(now) && r.mayBeCandidate(now) {
		commands = append(commands, r.beginCandidacy(now)...)
	}
	if now.Before(r.nextElection) || len(r.workers.names) == 0 {
		return commands
	}
	interval := electInterval
	if r.storeAway(now) {
		interval = r.config.StoreLeaseTTL // A holder that still acts is to find the store's return first.
	}
	r.nextElection = now.Add(interval + r.jitter(interval/2))
	return append(commands, cyclamendyke.ElectCommand{
		MinTerm: nextBlock(max(r.record.Epoch.Term, r.maxFence.Term)),
		TTL:     r.config.StoreLeaseTTL,
		Roster:  r.roster(),
	})
}

func (r *Role) storeAway(now time.Time) bool {
	return now.Sub(r.storeAnswered) >= r.config.StoreLeaseTTL
}

// mayBeCandidate reports whether a term may be begun without the store: its roster must be that of the last recorded term.
func (r *Role) mayBeCandidate(now time.Time) bool {
	return len(r.record.Roster) > 0 && !r.stale && !now.Before(r.nextCandidacy)
}

// beginCandidacy begins a term without the store by asking a few workers.
func (r *Role) beginCandidacy(now time.Time) []cyclamendyke.RoleCommand {
	highest := max(r.record.Epoch.Term, r.maxFence.Term)
	r.term = &term{
		epoch:        cyclamendyke.Epoch{Term: highest + 1, Owner: r.config.Member},
		roster:       r.record.Roster,
		earlier:      r.record.Earlier,
		established:  r.record.Established,
		probing:      true,
		mode:         cyclamendyke.SessionHeld,
		sessions:     sessionTable{},
		fenced:       map[cyclamendyke.WorkerName]bool{},
		lackingSince: now,
	}
	return r.claimMissing(now)
}

// won begins the term that the store granted, or counts the renewal of its lease.
func (r *Role) won(now, sent time.Time, found cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.learn(now, found)
	until := sent.Add(r.config.StoreLeaseTTL - r.config.ClockMargin)
	if t := r.term; t != nil && found.Epoch == t.epoch {
		t.recorded = true
		if !now.Before(t.storeUntil) {
			t.steadySince = now
		}
		t.storeUntil = later(t.storeUntil, until)
		return r.settle(now, "store lease")
	}
	usable := now.Before(until) && found.Epoch.Owner == r.config.Member && found.Epoch.Term == block(found.Epoch.Term)
	if !usable {
		return releaseWon(cyclamendyke.ElectionWon, found)
	}
	return r.beginTerm(now, until, found)
}

// beginTerm claims the workers for a term that the store granted.
func (r *Role) beginTerm(now, until time.Time, record cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	var commands []cyclamendyke.RoleCommand
	if r.term != nil {
		if record.Epoch.Compare(r.term.epoch) < 0 {
			return nil
		}
		commands = r.stepDown(now, "a new term of its own", 0)
	}
	r.term = &term{
		epoch:        record.Epoch,
		roster:       record.Roster,
		earlier:      record.Earlier,
		recorded:     true,
		mode:         cyclamendyke.SessionPreemptible,
		storeUntil:   until,
		steadySince:  now,
		sessions:     sessionTable{},
		fenced:       map[cyclamendyke.WorkerName]bool{},
		lackingSince: now,
		nextRenewal:  now.Add(r.config.StoreLeaseTTL / 4),
	}
	return append(commands, r.claimMissing(now)...)
}

// lost learns who holds the store's lease, and steps aside for a later term.
func (r *Role) lost(now time.Time, found cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.learn(now, found)
	t := r.term
	if t == nil {
		return nil
	}
	if found.Epoch.Compare(t.epoch) > 0 {
		return r.stepDown(now, "the store names a later term", r.config.StoreLeaseTTL)
	}
	t.recorded = false
	if found.Epoch.IsZero() || found.Epoch.Owner == r.config.Member {
		return r.registerEpoch(now)
	}
	return nil
}

// registerEpoch records the epoch that this process acts under.
func (r *Role) registerEpoch(now time.Time) []cyclamendyke.RoleCommand {
	r.term.nextRenewal = now.Add(r.config.StoreLeaseTTL / 4)
	return []cyclamendyke.RoleCommand{cyclamendyke.ElectCommand{
		TTL:    r.config.StoreLeaseTTL,
		Roster: r.term.roster,
		Keep:   r.term.epoch,
	}}
}
