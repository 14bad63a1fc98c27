package storepath

import (
	"slices"
	"time"

	"cyclamendyke"
)

// StepKind is what to do next for a write.
type StepKind int

// The kinds of step.
const (
	StepOwn     StepKind = iota // Send the write to the store.
	StepMember                  // Ask a member to store it.
	StepWait                    // Wait until an attempt ends or until a time.
	StepStored                  // The write is stored.
	StepRefused                 // No attempt can have taken or can take effect.
	StepUnknown                 // An attempt may take effect.
)

// Reason is why a write was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoPath    Reason = "no-path"   // The own path is broken and no member was worth asking.
	ReasonMembers   Reason = "members"   // No member that was asked stored it.
	ReasonStore     Reason = "store"     // The store refused it, and there is no other member.
	ReasonRejected  Reason = "rejected"  // The store does not take this write.
	ReasonCancelled Reason = "cancelled" // The work was cancelled while it was being stored.
	ReasonDeadline  Reason = "deadline"  // The caller's deadline passed.
)

// Step is what to do next for a write.
type Step struct {
	Kind       StepKind
	Attempt    int           // Passed to Ended; with StepOwn and StepMember.
	Member     Member        // With StepMember.
	Until      time.Duration // With StepWait.
	RetryAfter time.Duration // With StepRefused.
	Reason     Reason        // With StepRefused.
}

// attempt is one try to store a write.
type attempt struct {
	isOwn   bool
	member  Member
	sent    time.Duration
	writing bool // The write itself was sent; before that the attempt can have no effect.
	ended   bool
	outcome Outcome
}

// Write is one write and its attempts by several paths; it may be stored by more than one, since the store
// accepts each workflow once.
type Write struct {
	paths    *Paths
	id       cyclamendyke.WorkflowID
	deadline time.Duration
	members  []Member
	attempts []attempt
	asked    []Member
	isStored bool
	isOver   bool // The caller has been answered.

	isRejected  bool // The store does not take it by any path.
	isCancelled bool // The store shows that none of its attempts has or takes effect.
}

// NewWrite returns the write of a workflow whose caller must be answered by the deadline.
func (p *Paths) NewWrite(id cyclamendyke.WorkflowID, deadline time.Duration, members []Member) *Write {
	p.forgetMembers(members)
	return &Write{paths: p, id: id, deadline: deadline, members: members}
}

// Next returns what to do next. Each StepOwn and StepMember begins an attempt, which first checks its path by
// a call without effect, unless ShouldCheck says otherwise, and then asks Proceed.
func (w *Write) Next(now time.Duration) Step {
	if w.isStored {
		w.isOver = true
		return Step{Kind: StepStored}
	}
	if w.isCancelled {
		return w.giveUp(now, ReasonCancelled)
	}
	if w.isRejected {
		return w.giveUp(now, ReasonRejected)
	}
	if now >= w.deadline {
		return w.giveUp(now, ReasonDeadline)
	}
	own := w.paths.State(now)
	if until := w.waitUntil(own); until > now {
		return Step{Kind: StepWait, Until: min(until, w.deadline)}
	}
	if own == Good && w.mayUseOwn() {
		return w.begin(now, attempt{isOwn: true})
	}
	if member, ok := w.nextMember(now); ok {
		w.asked = append(w.asked, member)
		return w.begin(now, attempt{member: member})
	}
	if own == Suspect && !w.hasUsedOwn() {
		return w.begin(now, attempt{isOwn: true})
	}
	if w.mayStillBeStored(own) {
		return Step{Kind: StepWait, Until: min(now+recheckInterval, w.deadline)}
	}
	return w.giveUp(now, w.reason())
}

// Proceed records that an attempt has found its path working and now sends the write. It returns false if
// the caller has been answered, and the attempt must not go on.
func (w *Write) Proceed(number int) bool {
	if w.isOver || w.isStored {
		w.attempts[number].ended = true
		return false
	}
	w.attempts[number].writing = true
	return true
}

// Ended records how an attempt ended. It may be called after the write has ended.
func (w *Write) Ended(now time.Duration, number int, outcome Outcome) {
	a := &w.attempts[number]
	if a.ended {
		return // It did not proceed.
	}
	if !a.writing && outcome.mayTakeEffect() {
		outcome = Unreachable
	}
	a.ended, a.outcome = true, outcome
	if !a.isOwn {
		w.paths.recordMember(now, a.member, outcome)
		if outcome == Answered {
			w.paths.memberLatency.observe(now - a.sent)
		}
	}
	w.isRejected = w.isRejected || outcome == Rejected
	switch outcome {
	case Answered:
		w.isStored = true
		w.paths.doubts.settle(w.id)
	case Cancelled:
		w.isCancelled = true
		w.paths.doubts.settle(w.id)
	}
}

func (w *Write) begin(now time.Duration, a attempt) Step {
	a.sent = now
	w.attempts = append(w.attempts, a)
	kind := StepMember
	if a.isOwn {
		kind = StepOwn
	}
	return Step{Kind: kind, Attempt: len(w.attempts) - 1, Member: a.member}
}

// waitUntil returns until when the latest attempt is given time before another one is begun. An attempt by
// the own path is given none once another call has shown that the path may be broken.
func (w *Write) waitUntil(own State) time.Duration {
	var until time.Duration
	for _, a := range w.attempts {
		switch {
		case a.ended:
		case !a.isOwn:
			until = max(until, a.sent+w.paths.memberLatency.hedgeAfter())
		case own == Good:
			until = max(until, a.sent+w.paths.own.latency.hedgeAfter())
		}
	}
	return until
}

// mayUseOwn reports whether the own path was not used yet or has answered a later call since.
func (w *Write) mayUseOwn() bool {
	used, last := 0, time.Duration(0)
	for _, a := range w.attempts {
		if a.isOwn {
			used++
			last = a.sent
		}
	}
	return used == 0 || used < maxOwnAttempts && w.paths.own.lastAnswered > last
}

func (w *Write) hasUsedOwn() bool {
	return slices.ContainsFunc(w.attempts, func(a attempt) bool { return a.isOwn })
}

// mayStillBeStored reports whether an attempt that has not ended is worth waiting for.
func (w *Write) mayStillBeStored(own State) bool {
	return slices.ContainsFunc(w.attempts, func(a attempt) bool {
		isHopeless := a.isOwn && !a.writing && own == Broken
		return !a.ended && !isHopeless
	})
}

// nextMember returns the next member to ask, unless there is too little time or members did not store the
// last writes.
func (w *Write) nextMember(now time.Duration) (Member, bool) {
	p := w.paths
	if len(w.asked) >= maxMembersAsked || w.deadline-now < p.memberLatency.mean {
		return Member{}, false
	}
	if len(w.asked) == 0 && p.noMemberUntil > 0 {
		if now < p.noMemberUntil {
			return Member{}, false
		}
		p.noMemberUntil = now + retrialFor // This write tries them alone.
	}
	return p.chooseMember(now, w.members, w.asked)
}

func (w *Write) reason() Reason {
	switch {
	case len(w.asked) > 0:
		return ReasonMembers
	case w.hasUsedOwn():
		return ReasonStore
	}
	return ReasonNoPath
}

// giveUp ends a write that no attempt has stored.
func (w *Write) giveUp(now time.Duration, reason Reason) Step {
	if len(w.asked) > 0 && !w.isRejected && !w.isCancelled && !w.paths.hasStoringMember(now) {
		w.paths.noMemberUntil = max(w.paths.noMemberUntil, now+w.paths.spread(noMemberFor))
	}
	w.isOver = true
	for _, a := range w.attempts {
		if a.writing && !w.isCancelled && (!a.ended || a.outcome.mayTakeEffect()) {
			w.paths.Doubt(now, w.id)
		}
	}
	if w.paths.InDoubt(now, w.id) {
		return Step{Kind: StepUnknown}
	}
	return Step{Kind: StepRefused, RetryAfter: w.paths.RetryAfter(now), Reason: reason}
}
