package cyclamendyke

import "time"

// Role decides whether this process is its zone's scheduler.
//
// Like Scheduler it does no I/O and is driven by one control goroutine. A
// holder acts only while two things hold on its own clock: a majority of the
// term's roster of workers has its session, and either the store's lease has
// not lapsed or that majority is in mode SessionHeld.
type Role interface {
	// Tick returns what to do next; it is called at least once every RoleTickInterval.
	Tick(now time.Time) []RoleCommand
	// StoreElected reports the answer to an ElectCommand or RenewElectionCommand sent at sent; found is the record that the store then holds, which on ElectionWon names the epoch of the lease.
	StoreElected(now, sent time.Time, result ElectionResult, found ZoneScheduler) []RoleCommand
	// SessionGranted reports that a worker granted or renewed the session, in an answer to a call sent at sent.
	SessionGranted(now, sent time.Time, worker WorkerName, claim Claim) []RoleCommand
	// SessionRefused reports a worker's refusal with its fence.
	SessionRefused(now time.Time, worker WorkerName, kind Kind, fence Epoch) []RoleCommand
	// SetRecord reports the latest record of the role as a watch of the store or a peer gave it; an older one is ignored.
	SetRecord(now time.Time, record ZoneScheduler) []RoleCommand
	// SetVMs brings the zone's list of workers up to date, from which the next term's roster is taken.
	SetVMs(now time.Time, vms []VM) []RoleCommand
	// Authority returns the present right to act.
	Authority(now time.Time) Authority
	// Claim returns the claim to send to workers now, and whether any should be sent; renewals, which extend task leases, also need a valid Authority.
	Claim(now time.Time) (Claim, bool)
	// Resign gives up the role for a planned stop; the role is not taken again.
	Resign(now time.Time) []RoleCommand
}

// RoleTickInterval is the longest time between two calls of Role.Tick.
const RoleTickInterval = 200 * time.Millisecond

// ElectionResult is the answer to a call that takes or keeps the store's lease.
type ElectionResult string

// The results of an election call.
const (
	ElectionWon     ElectionResult = "won"
	ElectionLost    ElectionResult = "lost"    // Somebody else holds the lease.
	ElectionUnknown ElectionResult = "unknown" // The store did not answer; nothing may be concluded.
)

// RoleCommand is something that a Role asks its caller to carry out.
type RoleCommand interface{ roleCommand() }

// ElectCommand asks for the store's lease on the zone, either for a new term or, if Keep is set, for the epoch that the caller already acts under.
//
// The record to write follows from the one found at the zone's epoch key.
type ElectCommand struct {
	MinTerm uint64
	TTL     time.Duration
	Roster  []WorkerName
	Keep    Epoch
}

// EstablishCommand asks for the record of the epoch to be marked as established, best effort: an unmarked one only makes the next term need more majorities.
type EstablishCommand struct {
	Epoch Epoch
}

// RenewElectionCommand asks for the store's lease to be kept alive.
type RenewElectionCommand struct {
	Epoch Epoch
}

// ClaimAllCommand asks for every worker in Workers to be claimed now with Claim.
type ClaimAllCommand struct {
	Workers []WorkerName
	Claim   Claim
}

// ReleaseCommand asks for the sessions and the store's lease of the epoch to be given up, best effort.
type ReleaseCommand struct {
	Epoch Epoch
}

// RoleChangedCommand reports that the authority began, changed its epoch or ended.
type RoleChangedCommand struct {
	Authority Authority
	Detail    string // Why, for the time line.
}

func (ElectCommand) roleCommand()         {}
func (EstablishCommand) roleCommand()     {}
func (RenewElectionCommand) roleCommand() {}
func (ClaimAllCommand) roleCommand()      {}
func (ReleaseCommand) roleCommand()       {}
func (RoleChangedCommand) roleCommand()   {}
