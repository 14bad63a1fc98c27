package reserve

import "time"

// Line gives the turn to reserve room to one claimant after the other. Since no two hold room at a time, and none holds a part of what
// it needs, none waits for what another holds.
type Line[C comparable] struct {
	cfg         Config
	holder      Claimant[C]
	isHeld      bool
	since       time.Duration // When the holder got the turn.
	seen        time.Duration // When the holder last asked.
	overdue     Claimant[C]   // The trial that has waited longest.
	overdueSeen time.Duration // When it last asked; zero if there is none.
	lastTrial   bool          // The last turn was that of an overdue trial.
}

// Config configures a Line.
type Config struct {
	Guarantee time.Duration // For so long a more urgent claimant may take the turn over; later none may.
	Lapse     time.Duration // A claimant that has not asked for so long does not wait any more.
	TrialWait time.Duration // A trial that has waited for so long gets every second turn.
}

// Claimant is work that waits for room.
type Claimant[C comparable] struct {
	ID      C
	Urgency int           // Lower is more urgent.
	Since   time.Duration // When it began to wait.
	IsTrial bool          // It is to be tried apart, and ranks late for that.
}

// NewLine returns a Line whose turn is free.
func NewLine[C comparable](cfg Config) *Line[C] {
	return &Line[C]{cfg: cfg}
}

// Holder returns whose turn it is, if it is anyone's.
func (l *Line[C]) Holder() (id C, isHeld bool) {
	return l.holder.ID, l.isHeld
}

// Has reports whether it is a claimant's turn.
func (l *Line[C]) Has(id C) bool {
	return l.isHeld && l.holder.ID == id
}

// Ask reports whether a claimant has the turn or may take it. Claimants ask in the order of their rank.
func (l *Line[C]) Ask(now time.Duration, c Claimant[C]) bool {
	l.noteOverdue(now, c)
	switch {
	case l.Has(c.ID):
		return true
	case l.isHeld && now-l.seen <= l.cfg.Lapse:
		return c.Urgency < l.holder.Urgency && now-l.since < l.cfg.Guarantee
	case l.hasOverdue(now) && !l.lastTrial:
		return c.ID == l.overdue.ID
	}
	return true
}

// noteOverdue remembers the trial that has waited longest.
func (l *Line[C]) noteOverdue(now time.Duration, c Claimant[C]) {
	if !c.IsTrial || now-c.Since < l.cfg.TrialWait {
		return
	}
	if !l.hasOverdue(now) || c.ID == l.overdue.ID || c.Since < l.overdue.Since {
		l.overdue, l.overdueSeen = c, now
	}
}

func (l *Line[C]) hasOverdue(now time.Duration) bool {
	return l.overdueSeen > 0 && now-l.overdueSeen <= l.cfg.Lapse
}

// Take gives the turn to a claimant that may take it, and returns the one that has lost it, if any.
func (l *Line[C]) Take(now time.Duration, c Claimant[C]) (lost C, hasLost bool) {
	l.seen = now
	if l.Has(c.ID) {
		l.holder = c
		return lost, false
	}
	lost, hasLost = l.holder.ID, l.isHeld
	l.holder, l.isHeld, l.since = c, true, now
	l.lastTrial = l.hasOverdue(now) && c.ID == l.overdue.ID
	return lost, hasLost
}

// Leave ends a claimant's turn and wait: it has started, is over, or can't get what it needs from the targets that there are.
func (l *Line[C]) Leave(id C) {
	if l.Has(id) {
		l.holder, l.isHeld = Claimant[C]{}, false
	}
	if l.overdue.ID == id {
		l.overdueSeen = 0
	}
}
