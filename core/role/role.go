package role

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"cyclamendyke"
)

// Role implements cyclamendyke.Role for one process.
type Role struct {
	config   Config
	workers  workerList
	record   cyclamendyke.ZoneScheduler // The latest that is known.
	maxFence cyclamendyke.Epoch
	term     *term // Nil while standing by.
	resigned bool

	storeAnswered time.Time
	nextElection  time.Time
	nextCandidacy time.Time
	attempts      uint64
	stale         bool // A worker belongs to a term recorded after the known one.
}

var _ cyclamendyke.Role = (*Role)(nil)

// New returns a role that stands by.
func New(config Config) *Role {
	r := &Role{
		config:  config.withDefaults(),
		workers: workerList{absent: map[cyclamendyke.WorkerName]time.Time{}},
	}
	r.workers.set(config.InitialVMs)
	return r
}

// Tick returns what to do next.
func (r *Role) Tick(now time.Time) []cyclamendyke.RoleCommand {
	if r.storeAnswered.IsZero() {
		r.storeAnswered = now
	}
	switch {
	case r.resigned:
		return nil
	case r.term == nil:
		return r.tickStandby(now)
	}
	return r.tickTerm(now)
}

// StoreElected takes in the store's answer to an election or its renewal.
func (r *Role) StoreElected(now, sent time.Time, result cyclamendyke.ElectionResult, found cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	if result == cyclamendyke.ElectionUnknown {
		return nil
	}
	if r.resigned {
		return releaseWon(result, found)
	}
	r.storeAnswered = later(r.storeAnswered, now)
	if result == cyclamendyke.ElectionWon {
		return r.won(now, sent, found)
	}
	return r.lost(now, found)
}

// releaseWon gives back a lease that came too late to be used.
func releaseWon(result cyclamendyke.ElectionResult, found cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	if result != cyclamendyke.ElectionWon {
		return nil
	}
	return []cyclamendyke.RoleCommand{cyclamendyke.ReleaseCommand{Epoch: found.Epoch}}
}

// SetRecord takes in the latest record of the role.
func (r *Role) SetRecord(now time.Time, record cyclamendyke.ZoneScheduler) []cyclamendyke.RoleCommand {
	r.learn(now, record)
	return nil
}

// SessionGranted counts a worker's session from when the call was sent.
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
		t.lackingSince = now
		return append(r.claimMissing(now), r.settle(now, "majority of workers")...)
	}
	return r.settle(now, "majority of workers")
}

// SessionRefused takes a worker's session off the count and learns from its fence.
func (r *Role) SessionRefused(now time.Time, worker cyclamendyke.WorkerName, kind cyclamendyke.Kind, fence cyclamendyke.Epoch) []cyclamendyke.RoleCommand {
	if fence.Compare(r.maxFence) > 0 {
		r.maxFence = fence
	}
	r.stale = r.stale || r.maxFence.Term >= nextBlock(r.record.Epoch.Term)
	t := r.term
	if t == nil {
		return nil
	}
	delete(t.sessions, worker)
	if kind == cyclamendyke.KindFenced && fence.Compare(t.epoch) > 0 {
		t.fenced[worker] = true
		if r.fencedOut(now) {
			return r.stepDown(now, "a later term holds the workers", 0)
		}
	}
	return r.settle(now, "workers refused")
}

// SetVMs takes in the zone's list of workers.
func (r *Role) SetVMs(now time.Time, vms []cyclamendyke.VM) []cyclamendyke.RoleCommand {
	r.workers.set(vms)
	r.noteAbsentMembers(now)
	return nil
}

// Authority returns the present right to act.
func (r *Role) Authority(now time.Time) cyclamendyke.Authority {
	if r.term == nil {
		return cyclamendyke.Authority{}
	}
	until := r.term.until(r.gone(now))
	if !now.Before(until) {
		return cyclamendyke.Authority{Epoch: r.term.epoch}
	}
	return cyclamendyke.Authority{Epoch: r.term.epoch, Until: until}
}

// Claim returns the claim of the present term.
func (r *Role) Claim(_ time.Time) (cyclamendyke.Claim, bool) {
	t := r.term
	if t == nil {
		return cyclamendyke.Claim{}, false
	}
	return cyclamendyke.Claim{
		Epoch:       t.epoch,
		Mode:        t.mode,
		ModeVersion: t.modeVersion,
		StoreLease:  t.epoch.Term == block(t.epoch.Term),
		SessionTTL:  r.config.SessionTTL,
		TaskTTL:     r.config.TaskTTL,
		Hold:        r.config.Hold,
	}, true
}

// Resign gives up the role for good.
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

// gone returns the test for workers whose sessions must have lapsed because their VM was removed.
func (r *Role) gone(now time.Time) func(cyclamendyke.WorkerName) bool {
	return r.workers.goneFor(now, r.config.SessionTTL+r.config.ClockMargin)
}

// learn takes in a record of the store that is newer than the known one.
func (r *Role) learn(now time.Time, record cyclamendyke.ZoneScheduler) {
	order := record.Epoch.Compare(r.record.Epoch)
	if order < 0 || order == 0 && !record.Established {
		return
	}
	r.record = record
	r.stale = r.maxFence.Term >= nextBlock(record.Epoch.Term)
	r.noteAbsentMembers(now)
}

// noteAbsentMembers starts the clock of members of the known rosters that are not listed.
func (r *Role) noteAbsentMembers(now time.Time) {
	if len(r.workers.names) == 0 {
		return
	}
	r.workers.track(now, append([][]cyclamendyke.WorkerName{r.record.Roster}, r.record.Earlier...))
}

// stepDown ends the term and stands by for at least backOff.
func (r *Role) stepDown(now time.Time, why string, backOff time.Duration) []cyclamendyke.RoleCommand {
	t := r.term
	r.term = nil
	r.nextElection = later(r.nextElection, now.Add(backOff))
	r.nextCandidacy = now.Add(candidateInterval + r.jitter(candidateInterval))
	var commands []cyclamendyke.RoleCommand
	if t.recorded || len(t.sessions) > 0 {
		commands = append(commands, cyclamendyke.ReleaseCommand{Epoch: t.epoch})
	}
	if !t.acting {
		return commands
	}
	changed := cyclamendyke.RoleChangedCommand{Authority: cyclamendyke.Authority{Epoch: t.epoch}, Detail: why}
	return append([]cyclamendyke.RoleCommand{changed}, commands...)
}

// jitter returns a duration below limit that differs between members and attempts.
func (r *Role) jitter(limit time.Duration) time.Duration {
	r.attempts++
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(r.config.Member) + "/" + strconv.FormatUint(r.attempts, 10)))
	return time.Duration(h.Sum64() % uint64(limit))
}

func (r *Role) roster() []cyclamendyke.WorkerName {
	return slices.Clone(r.workers.names)
}
