package cyclamendyke

import "time"

// Role decides whether this process is its zone's scheduler.
//
// Like Scheduler it does no I/O and is called by one control goroutine. The
// holder of the role may act only while both conditions hold on its own clock:
// a majority of the workers in the term's roster has granted it a session, and
// either the store's lease has not expired or that majority is in mode
// SessionHeld.
type Role interface {
	// Tick returns the next commands; it must be called at least once every RoleTickInterval.
	Tick(now time.Time) []RoleCommand
	// StoreElected reports the result of an ElectCommand or RenewElectionCommand that was sent at
	// sent; current is the record in the store after the call, which with ElectionWon names the
	// epoch of the lease.
	StoreElected(now, sent time.Time, result ElectionResult, current ZoneScheduler) []RoleCommand
	// SessionGranted reports that a worker granted or renewed the session in response to a call sent at sent.
	SessionGranted(now, sent time.Time, worker WorkerName, claim Claim) []RoleCommand
	// SessionRefused reports that a worker refused the session, with the kind of its error and its fence.
	SessionRefused(now time.Time, worker WorkerName, kind Kind, fence Epoch) []RoleCommand
	// SetRecord sets the zone's record as received from a watch of the store or from a peer; an
	// older record is ignored.
	SetRecord(now time.Time, record ZoneScheduler) []RoleCommand
	// SetVMs updates the zone's list of workers, from which the next term's roster is taken.
	SetVMs(now time.Time, vms []VM) []RoleCommand
	// Authority returns the current right to act.
	Authority(now time.Time) Authority
	// Claim returns the claim to send to workers now and whether to send one; renewals, which
	// extend task leases, also need a valid Authority.
	Claim(now time.Time) (Claim, bool)
	// Resign gives up the role for a planned stop; this process does not take it again.
	Resign(now time.Time) []RoleCommand
}

// RoleTickInterval is the longest time between two calls of Role.Tick.
const RoleTickInterval = 200 * time.Millisecond

// ElectionResult is the result of a call that acquires or renews the store's lease.
type ElectionResult string

// The results of an election call.
const (
	ElectionWon     ElectionResult = "won"
	ElectionLost    ElectionResult = "lost"    // Another member holds the lease.
	ElectionUnknown ElectionResult = "unknown" // The store did not answer; the lease may or may not be held.
)

// RoleCommand is an action that a Role asks its caller to carry out.
type RoleCommand interface{ roleCommand() }

// ElectCommand asks to acquire the store's lease on the zone, either for a new term or, if Keep is
// set, for the epoch under which the caller already acts.
//
// The record to write is derived from the one at the zone's epoch key.
type ElectCommand struct {
	MinTerm uint64
	TTL     time.Duration
	Roster  []WorkerName
	Keep    Epoch
}

// EstablishCommand asks to mark the record of the epoch as established. A failure may be ignored:
// without the mark the next term only needs more majorities.
type EstablishCommand struct {
	Epoch Epoch
}

// RenewElectionCommand asks to renew the store's lease.
type RenewElectionCommand struct {
	Epoch Epoch
}

// ClaimAllCommand asks to send Claim to every worker in Workers now.
type ClaimAllCommand struct {
	Workers []WorkerName
	Claim   Claim
}

// ReleaseCommand asks to release the sessions and the store's lease of the epoch; failures may be ignored.
type ReleaseCommand struct {
	Epoch Epoch
}

// RoleChangedCommand reports that the authority started, changed its epoch or ended.
type RoleChangedCommand struct {
	Authority Authority
	Detail    string // Reason for the change, for the timeline.
}

func (ElectCommand) roleCommand()         {}
func (EstablishCommand) roleCommand()     {}
func (RenewElectionCommand) roleCommand() {}
func (ClaimAllCommand) roleCommand()      {}
func (ReleaseCommand) roleCommand()       {}
func (RoleChangedCommand) roleCommand()   {}
