package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// tickTerm renews the store's lease, sets the sessions' mode and claims the sessions that are missing.
func (r *Role) tickTerm(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	commands := r.updateAuthority(now, "lease or sessions lapsed")
	if !t.hasAuthority {
		commands = append(commands, r.releaseWithoutAuthority(now)...)
		if r.term == nil {
			return commands
		}
		if !now.Before(t.nextClaim) {
			commands = append(commands, r.claimMissingSessions(now)...)
		}
	}
	if r.rosterDrifted(now) {
		return append(commands, r.stepDown(now, "the list of workers has changed", 0)...)
	}
	commands = append(commands, r.adjustSessionMode(now)...)
	return append(commands, r.renewElection(now)...)
}

// updateAuthority reports when authority begins or ends, and marks the term as established when its
// authority first begins.
func (r *Role) updateAuthority(now time.Time, detail string) []cyclamendyke.RoleCommand {
	t := r.term
	authority := r.Authority(now)
	valid := authority.Valid(now)
	if valid == t.hasAuthority {
		return nil
	}
	t.hasAuthority = valid
	commands := []cyclamendyke.RoleCommand{cyclamendyke.RoleChangedCommand{Authority: authority, Detail: detail}}
	if !valid {
		t.noAuthoritySince = now
		return commands
	}
	t.hadAuthority = true
	if !t.established {
		t.established = true
		commands = append(commands, cyclamendyke.EstablishCommand{Epoch: t.epoch})
	}
	return commands
}

// releaseWithoutAuthority ends a term that has lacked authority for too long, so that another process
// can begin one.
func (r *Role) releaseWithoutAuthority(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	elapsed := now.Sub(t.noAuthoritySince)
	if !t.recorded && !t.hadAuthority {
		if elapsed < candidacyTimeout {
			return nil
		}
		return r.stepDown(now, "no majority without the store", 0)
	}
	if elapsed < r.config.noAuthorityTimeout() {
		return nil
	}
	return r.stepDown(now, "no majority of workers", r.config.noAuthorityTimeout()+r.jitter(r.config.StoreLeaseTTL))
}

// claimMissingSessions claims the sessions that have expired or will expire within half of their TTL, but
// none at workers that are fenced or no longer listed.
func (r *Role) claimMissingSessions(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	t.nextClaim = now.Add(claimInterval)
	missing := slices.DeleteFunc(t.rosterWorkers(), func(w cyclamendyke.WorkerName) bool {
		return now.Add(r.config.SessionTTL/2).Before(t.sessions[w].until) || t.fenced[w] || !r.workers.has(w)
	})
	if t.probing && len(missing) > probeSize {
		first := int(r.jitterCalls) % (len(missing) - probeSize + 1)
		missing = missing[first : first+probeSize]
	}
	return r.claimWorkers(now, missing)
}

func (r *Role) claimWorkers(now time.Time, workers []cyclamendyke.WorkerName) []cyclamendyke.RoleCommand {
	if len(workers) == 0 {
		return nil
	}
	claim, _ := r.Claim(now)
	return []cyclamendyke.RoleCommand{cyclamendyke.ClaimAllCommand{Workers: workers, Claim: claim}}
}

// adjustSessionMode sets the mode of the sessions from the state of the store's lease.
//
// Sessions become held when half of the lease has passed without a renewal, so that authority outlasts
// the lease, and preemptible again when the lease has been kept without a gap for storeSteadyFor.
func (r *Role) adjustSessionMode(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	remaining := t.storeLeaseUntil.Sub(now)
	switch {
	case t.mode == cyclamendyke.SessionPreemptible && remaining < r.config.StoreLeaseTTL/2:
		t.setMode(cyclamendyke.SessionHeld)
		return r.claimWorkers(now, slices.DeleteFunc(t.rosterWorkers(), func(w cyclamendyke.WorkerName) bool { return !r.workers.has(w) }))
	case t.mode == cyclamendyke.SessionHeld && remaining >= r.config.StoreLeaseTTL/2 && now.Sub(t.storeSteadySince) >= storeSteadyFor:
		t.setMode(cyclamendyke.SessionPreemptible)
	}
	return nil
}

// renewElection renews the store's lease, or asks for the epoch to be recorded if it has no lease.
func (r *Role) renewElection(now time.Time) []cyclamendyke.RoleCommand {
	t := r.term
	if now.Before(t.nextRenewal) || !t.recorded && !t.hasAuthority {
		return nil
	}
	if !t.recorded {
		return r.recordEpoch(now)
	}
	t.nextRenewal = now.Add(r.config.StoreLeaseTTL / 4)
	return []cyclamendyke.RoleCommand{cyclamendyke.RenewElectionCommand{Epoch: t.epoch}}
}

// majorityFenced reports whether a later epoch has fenced so many workers of a required roster that
// the others are no majority of it.
func (r *Role) majorityFenced(now time.Time) bool {
	t := r.term
	removed := r.removedWorkers(now)
	rosters := [][]cyclamendyke.WorkerName{t.roster}
	if !t.established {
		rosters = append(rosters, t.earlierRosters...)
	}
	return slices.ContainsFunc(rosters, func(roster []cyclamendyke.WorkerName) bool {
		present, unfenced := 0, 0
		for _, worker := range roster {
			if removed(worker) {
				continue
			}
			present++
			if !t.fenced[worker] {
				unfenced++
			}
		}
		return present > 0 && unfenced <= present/2
	})
}

// rosterDrifted reports whether the worker list has differed from the roster for so long that a new
// term should begin with a new roster; one fenced worker also counts as a difference.
func (r *Role) rosterDrifted(now time.Time) bool {
	t := r.term
	added := 0
	for _, worker := range r.workers.names {
		if !slices.Contains(t.roster, worker) {
			added++
		}
	}
	drifted := added*rosterDriftDivisor > len(r.workers.names) || len(t.fenced) > 0
	stable := t.hasAuthority && t.mode == cyclamendyke.SessionPreemptible
	if !drifted || !stable {
		t.rosterDriftSince = time.Time{}
		return false
	}
	if t.rosterDriftSince.IsZero() {
		t.rosterDriftSince = now
	}
	return now.Sub(t.rosterDriftSince) >= rosterDriftTolerated
}
