package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// tickTerm renews the store's lease, sets the sessions' mode and claims what is missing.
func (r *Role) tickTerm(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	commands := r.settle(now, "lease or sessions lapsed")
	if !t.acting {
		commands = append(commands, r.giveUp(now)...)
		if r.term == nil {
			return commands
		}
		if !now.Before(t.nextClaim) {
			commands = append(commands, r.claimMissing(now)...)
		}
	}
	if r.rosterDrifted(now) {
		return append(commands, r.stepDown(now, "the list of workers has changed", 0)...)
	}
	commands = append(commands, r.adjustMode(now)...)
	return append(commands, r.renewElection(now)...)
}

// settle establishes the term at its first authority and reports when authority begins or ends.
func (r *Role) settle(now time.Time, why string) []cyclamendyke.RoleCommand {
	t := r.term
	authority := r.Authority(now)
	acts := authority.Valid(now)
	if acts == t.acting {
		return nil
	}
	t.acting = acts
	commands := []cyclamendyke.RoleCommand{cyclamendyke.RoleChangedCommand{Authority: authority, Detail: why}}
	if !acts {
		t.lackingSince = now
		return commands
	}
	t.acted = true
	if !t.established {
		t.established = true
		commands = append(commands, cyclamendyke.EstablishCommand{Epoch: t.epoch})
	}
	return commands
}

// giveUp releases a term that has lacked its majority for so long that somebody else should try.
func (r *Role) giveUp(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	lacking := now.Sub(t.lackingSince)
	if !t.recorded && !t.acted {
		if lacking < candidateWindow {
			return nil
		}
		return r.stepDown(now, "no majority without the store", 0)
	}
	if lacking < r.config.giveUpAfter() {
		return nil
	}
	return r.stepDown(now, "no majority of workers", r.config.giveUpAfter()+r.jitter(r.config.StoreLeaseTTL))
}

// claimMissing asks the workers whose sessions have lapsed or soon will for theirs.
func (r *Role) claimMissing(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	t.nextClaim = now.Add(claimInterval)
	missing := slices.DeleteFunc(t.members(), func(w cyclamendyke.WorkerName) bool {
		return now.Add(r.config.SessionTTL/2).Before(t.sessions[w].until) || t.fenced[w] || !r.workers.has(w)
	})
	if t.probing && len(missing) > probeSize {
		first := int(r.attempts) % (len(missing) - probeSize + 1)
		missing = missing[first : first+probeSize]
	}
	return r.claimAll(now, missing)
}

func (r *Role) claimAll(now time.Time, workers []cyclamendyke.WorkerName) []cyclamendyke.RoleCommand {
	if len(workers) == 0 {
		return nil
	}
	claim, _ := r.Claim(now)
	return []cyclamendyke.RoleCommand{cyclamendyke.ClaimAllCommand{Workers: workers, Claim: claim}}
}

// adjustMode makes the sessions held while the lease still stands once the store stops answering, and preemptible again when it is back for good.
func (r *Role) adjustMode(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	remaining := t.storeUntil.Sub(now)
	switch {
	case t.mode == cyclamendyke.SessionPreemptible && remaining < r.config.StoreLeaseTTL/2:
		t.setMode(cyclamendyke.SessionHeld)
		return r.claimAll(now, slices.DeleteFunc(t.members(), func(w cyclamendyke.WorkerName) bool { return !r.workers.has(w) }))
	case t.mode == cyclamendyke.SessionHeld && remaining >= r.config.StoreLeaseTTL/2 && now.Sub(t.steadySince) >= storeSteadyFor:
		t.setMode(cyclamendyke.SessionPreemptible)
	}
	return nil
}

// renewElection keeps the store's lease alive or asks for the epoch to be recorded.
func (r *Role) renewElection(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	if now.Before(t.nextRenewal) || !t.recorded && !t.acting {
		return nil
	}
	if !t.recorded {
		return r.registerEpoch(now)
	}
	t.nextRenewal = now.Add(r.config.StoreLeaseTTL / 4)
	return []cyclamendyke.RoleCommand{cyclamendyke.RenewElectionCommand{Epoch: t.epoch}}
}

// fencedOut reports whether no majority of some roster that counts is left below a later fence.
func (r *Role) fencedOut(now time.Time) bool {
	t := r.term
	gone := r.gone(now)
	rosters := [][]cyclamendyke.WorkerName{t.roster}
	if !t.established {
		rosters = append(rosters, t.earlier...)
	}
	return slices.ContainsFunc(rosters, func(roster []cyclamendyke.WorkerName) bool {
		members, open := 0, 0
		for _, worker := range roster {
			if gone(worker) {
				continue
			}
			members++
			if !t.fenced[worker] {
				open++
			}
		}
		return members > 0 && open <= members/2
	})
}

// rosterDrifted reports whether the list of workers has long differed so much from the roster that a new term is due.
func (r *Role) rosterDrifted(now time.Time) bool {
	t := r.term
	added := 0
	for _, worker := range r.workers.names {
		if !slices.Contains(t.roster, worker) {
			added++
		}
	}
	drifted := added*rosterDriftFraction > len(r.workers.names) || len(t.fenced) > 0
	settled := t.acting && t.mode == cyclamendyke.SessionPreemptible
	if !drifted || !settled {
		t.driftSince = time.Time{}
		return false
	}
	if t.driftSince.IsZero() {
		t.driftSince = now
	}
	return now.Sub(t.driftSince) >= rosterSteadyFor
}
