package lease

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// The timing of statements.
const (
	roundInterval     = 750 * time.Millisecond
	statementInterval = 150 * time.Millisecond // Minimum time between two, when the list of silent targets changes.
)

// serialsPerEpoch is the number of serials set aside for each epoch, so that they rise across takeovers.
const serialsPerEpoch = 1_000_000_000

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Epoch        uint64
	ClaimedAt    time.Duration // When the claim that begins the epoch was sent, which is its first round.
	LongestGrant time.Duration
	Stored       []SilentTarget // The list that earlier epochs have stored.
}

// Ledger decides which leases a scheduler may grant, and what it must store for that. All times are those of its
// process's clock. Several goroutines may use it.
type Ledger struct {
	cfg         LedgerConfig
	mu          sync.Mutex // Guards all that follows.
	entries     map[cyclamendyke.TargetID]*entry
	number      int64 // Of the last round taken.
	serial      int64 // The last one given.
	takenAt     time.Duration
	isStoring   bool          // A statement has been taken and is not stored yet.
	grantUntil  time.Duration // Latest end of leases that the stored rounds allow.
	listChanged bool          // The list differs from the last one taken.

	keeping
}

// entry is the state of one entry of the list.
type entry struct {
	SilentTarget
	isWanted bool // The next statement names it.
	isTaken  bool // The last statement taken names it.
	isStored bool // The last statement stored names it.
}

// NewLedger returns the ledger of an epoch that begins.
func NewLedger(cfg LedgerConfig) *Ledger {
	l := &Ledger{
		cfg: cfg, entries: map[cyclamendyke.TargetID]*entry{}, serial: int64(cfg.Epoch) * serialsPerEpoch,
		takenAt: cfg.ClaimedAt, grantUntil: cfg.ClaimedAt + cfg.LongestGrant,
	}
	for _, silent := range cfg.Stored {
		l.entries[silent.ID] = &entry{SilentTarget: silent, isWanted: true, isTaken: true, isStored: true}
	}
	return l
}

// SetSilent enters a target whose leases are over at leaseEnd, and returns false if it is in the list already. From now on
// no lease is allowed on it.
func (l *Ledger) SetSilent(id cyclamendyke.TargetID, leaseEnd, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch {
	case e != nil && e.isWanted:
		return false
	case e == nil:
		e = &entry{}
		l.entries[id] = e
	}
	leaseEnd = max(leaseEnd, l.release(id))
	if !e.isTaken {
		l.serial++
		left := max(0, leaseEnd-now)
		e.SilentTarget = SilentTarget{ID: id, Serial: l.serial, LeftMillis: ceilMillis(left)}
	}
	e.isWanted, l.listChanged = true, true
	return true
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	millis := d.Milliseconds()
	if time.Duration(millis)*time.Millisecond < d {
		millis++
	}
	return millis
}

// ClearSilent takes a target off the list. Leases are allowed on it once that is stored.
func (l *Ledger) ClearSilent(id cyclamendyke.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || !e.isWanted {
		return
	}
	e.isWanted, l.listChanged = false, true
	l.forgetUnused(e)
}

// forgetUnused forgets an entry that no statement names.
func (l *Ledger) forgetUnused(e *entry) {
	if !e.isWanted && !e.isTaken && !e.isStored {
		delete(l.entries, e.ID)
	}
}

// Silent returns the targets that the next statement names.
func (l *Ledger) Silent() []cyclamendyke.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []cyclamendyke.TargetID
	for id, e := range l.entries {
		if e.isWanted {
			ids = append(ids, id)
		}
	}
	return ids
}

// GrantEnd returns the latest end of a lease that may be granted on a target, or false if none may be.
func (l *Ledger) GrantEnd(id cyclamendyke.TargetID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantUntil, l.mayGrant(id)
}

func (l *Ledger) mayGrant(id cyclamendyke.TargetID) bool {
	return len(l.entries) == 0 || l.entries[id] == nil
}

// Due reports whether a statement should be stored now.
func (l *Ledger) Due(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDue(now)
}

func (l *Ledger) isDue(now time.Duration) bool {
	switch {
	case l.isStoring:
		return false
	case l.number == 0 || now >= l.takenAt+roundInterval:
		return true
	}
	return l.listChanged && now >= l.takenAt+statementInterval
}

// Take returns the next statement, which must be stored before another one is taken.
func (l *Ledger) Take(now time.Duration) Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(now)
}

// TakeIfDue returns the next statement as Take, or false if none should be stored now.
func (l *Ledger) TakeIfDue(now time.Duration) (Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isDue(now) {
		return Statement{}, false
	}
	return l.take(now), true
}

func (l *Ledger) take(now time.Duration) Statement {
	l.number++
	l.takenAt, l.isStoring = now, true
	statement := Statement{Round: Round{l.cfg.Epoch, l.number}, SilentChanged: l.listChanged || l.number == 1}
	l.listChanged = false
	for _, e := range l.entries {
		e.isTaken = e.isWanted
		if e.isWanted {
			statement.Silent = append(statement.Silent, e.SilentTarget)
		}
	}
	slices.SortFunc(statement.Silent, func(a, b SilentTarget) int { return cmp.Compare(a.ID, b.ID) })
	return statement
}

// Stored records that the statement that was taken last is stored.
func (l *Ledger) Stored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isStoring = false
	l.grantUntil = l.takenAt + l.cfg.LongestGrant
	for _, e := range l.entries {
		e.isStored = e.isTaken
		l.forgetUnused(e)
	}
}
