package role

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"cyclamendyke"
)

// Role implements cyclamendyke.Role for one process; it does no I/O and reads no clock.
type Role struct {
	config   Config
	workers  workerList
	record   cyclamendyke.ZoneScheduler // The latest record known, from the store or a peer.
	maxFence cyclamendyke.Epoch         // The highest epoch that a refusing worker reported.
	term     *term                      // Nil for a standby.
	resigned bool

	lastStoreAnswer time.Time
	nextElection    time.Time
	nextCandidacy   time.Time
	jitterCalls     uint64 // Also varies which workers a candidacy claims first.
	recordStale     bool   // A worker's fence is of a later block, so record is out of date.
}

var _ cyclamendyke.Role = (*Role)(nil)

// New returns a role that begins as a standby.
func New(config Config) *Role {
	r := &Role{
		config:  config.withDefaults(),
		workers: workerList{absent: map[cyclamendyke.WorkerName]time.Time{}},
	}
	r.workers.set(config.InitialVMs)
	return r
}

// Tick returns the commands that are due at now.
func (r *Role) Tick(now time.Time) []cyclamendyke.RoleCommand {
	if r.lastStoreAnswer.IsZero() {
		r.lastStoreAnswer = now
	}
	switch {
	case r.resigned:
		return nil
	case r.term == nil:
		return r.tickStandby(now)
	}
	return r.tickTerm(now)
}

// StoreElected handles the store's answer to an election or a renewal of its lease.
func (r *Role) StoreElected(now, sent time.Time, result cyclamendyke.ElectionResult, current cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	if result == cyclamendyke.ElectionUnknown {
		return nil
	}
	if r.resigned {
		return releaseUnusableLease(result, current)
	}
	r.lastStoreAnswer = later(r.lastStoreAnswer, now)
	if result == cyclamendyke.ElectionWon {
		return r.electionWon(now, sent, current)
	}
	return r.electionLost(now, current)
}

// releaseUnusableLease releases a lease that this process was granted but can't use.
func releaseUnusableLease(result cyclamendyke.ElectionResult, current cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	if result != cyclamendyke.ElectionWon {
		return nil
	}
	return []cyclamendyke.RoleCommand{cyclamendyke.ReleaseCommand{Epoch: current.Epoch}}
}

// SetRecord updates the record of the zone's scheduler; an older one is ignored.
func (r *Role) SetRecord(now time.Time, record cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.updateRecord(now, record)
	return nil
}

// SessionGranted extends a worker's session, counted from when the call was sent.
func (r *Role) SessionGranted(now, sent time.Time, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) []cyclamendyke.RoleCommand {
	t := r.term
	if t == nil || claim.Epoch != t.epoch {
		return nil
	}
	until := sent.Add(r.config.SessionTTL - r.config.ClockMargin)
	held := claim.Mode == cyclamendyke.SessionHeld && claim.ModeVersion == t.modeVersion
	t.sessions.extend(worker, until, held)
	if t.probing {
		t.probing = false
		t.noAuthoritySince = now
		return append(r.claimMissingSessions(now), r.updateAuthority(now, "majority of workers")...)
	}
	return r.updateAuthority(now, "majority of workers")
}

// SessionRefused drops a worker's session and ends the term if later fences leave it no majority.
func (r *Role) SessionRefused(now time.Time, worker cyclamendyke.WorkerName, kind cyclamendyke.Kind, fence cyclamendyke.Epoch) []cyclamendyke.RoleCommand {
	if fence.Compare(r.maxFence) > 0 {
		r.maxFence = fence
	}
	r.recordStale = r.recordStale || r.maxFence.Term >= nextBlockStart(r.record.Epoch.Term)
	t := r.term
	if t == nil {
		return nil
	}
	delete(t.sessions, worker)
	if kind == cyclamendyke.KindFenced && fence.Compare(t.epoch) > 0 {
		t.fenced[worker] = true
		if r.majorityFenced(now) {
			return r.stepDown(now, "a later term holds the workers", 0)
		}
	}
	return r.updateAuthority(now, "workers refused")
}

// SetVMs replaces the zone's list of workers.
func (r *Role) SetVMs(now time.Time, vms []cyclamendyke.VM) []cyclamendyke.RoleCommand {
	r.workers.set(vms)
	r.trackAbsentWorkers(now)
	return nil
}

// Authority returns the epoch of the present term and until when it may act.
func (r *Role) Authority(now time.Time) cyclamendyke.Authority {
	if r.term == nil {
		return cyclamendyke.Authority{}
	}
	until := r.term.authorityUntil(r.removedWorkers(now))
	if !now.Before(until) {
		return cyclamendyke.Authority{Epoch: r.term.epoch}
	}
	return cyclamendyke.Authority{Epoch: r.term.epoch, Until: until}
}

// Claim returns the claim that workers are sent in the present term, and false for a standby.
func (r *Role) Claim(_ time.Time) (cyclamendyke.Claim, bool) {
	t := r.term
	if t == nil {
		return cyclamendyke.Claim{}, false
	}
	return cyclamendyke.Claim{
		Epoch:       t.epoch,
		Mode:        t.mode,
		ModeVersion: t.modeVersion,
		StoreLease:  t.epoch.Term == blockStart(t.epoch.Term),
		SessionTTL:  r.config.SessionTTL,
		TaskTTL:     r.config.TaskTTL,
		Hold:        r.config.Hold,
	}, true
}

// Resign ends the term, and the process never begins another one.
func (r *Role) Resign(now time.Time) []cyclamendyke.RoleCommand {
	if r.resigned {
		return nil
	}
	r.resigned = true
	if r.term == nil {
		return nil
	}
	return r.stepDown(now, "resigned", 0)
}

// removedWorkers returns a function that reports whether a worker's VM was removed so long ago that its
// sessions must have expired.
func (r *Role) removedWorkers(now time.Time) func(cyclamendyke.WorkerName) bool {
	return r.workers.absentFor(now, r.config.SessionTTL+r.config.ClockMargin)
}

// updateRecord replaces the record by one that is newer, or is the same one marked as established.
func (r *Role) updateRecord(now time.Time, record cyclamendyke.ZoneScheduler) {
	order := record.Epoch.Compare(r.record.Epoch)
	if order < 0 || order == 0 && !record.Established {
		return
	}
	r.record = record
	r.recordStale = r.maxFence.Term >= nextBlockStart(record.Epoch.Term)
	r.trackAbsentWorkers(now)
}

// trackAbsentWorkers records since when workers of the record's rosters have not been listed.
func (r *Role) trackAbsentWorkers(now time.Time) {
	if len(r.workers.names) == 0 {
		return
	}
	r.workers.trackAbsent(now, append([][]cyclamendyke.WorkerName{r.record.Roster}, r.record.EarlierRosters...))
}

// stepDown ends the term and starts no election for at least backOff.
func (r *Role) stepDown(now time.Time, detail string, backOff time.Duration) []cyclamendyke.RoleCommand {
	t := r.term
	r.term = nil
	r.nextElection = later(r.nextElection, now.Add(backOff))
	r.nextCandidacy = now.Add(candidacyInterval + r.jitter(candidacyInterval))
	var commands []cyclamendyke.RoleCommand
	if t.recorded || len(t.sessions) > 0 {
		commands = append(commands, cyclamendyke.ReleaseCommand{Epoch: t.epoch})
	}
	if !t.hasAuthority {
		return commands
	}
	changed := cyclamendyke.RoleChangedCommand{Authority: cyclamendyke.Authority{Epoch: t.epoch}, Detail: detail}
	return append([]cyclamendyke.RoleCommand{changed}, commands...)
}

// jitter returns a duration below limit that differs between members and calls.
func (r *Role) jitter(limit time.Duration) time.Duration {
	r.jitterCalls++
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(r.config.Member) + "/" + strconv.FormatUint(r.jitterCalls, 10)))
	return time.Duration(h.Sum64() % uint64(limit))
}

func (r *Role) currentRoster() []cyclamendyke.WorkerName {
	return slices.Clone(r.workers.names)
}
