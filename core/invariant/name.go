package invariant

// Name identifies one invariant.
type Name string

// The invariants that the program asserts while it runs.
const (
	WorkerCapacity   Name = "worker-capacity"   // A worker's reservations fit its size.
	OnePlace         Name = "one-place"         // A task is held by one worker.
	TeamAllotment    Name = "team-allotment"    // A team's reservations fit its allotment in the zone.
	AllotmentSum     Name = "allotment-sum"     // A team's allotments fit its upper limit.
	RevisionForward  Name = "revision-forward"  // A revision in force is never followed by an older one.
	EpochForward     Name = "epoch-forward"     // An epoch is never followed by a lower one.
	OneAnswer        Name = "one-answer"        // A request gets one final answer.
	OwnAnswer        Name = "own-answer"        // An answer goes to the request it names.
	NotRunTrue       Name = "not-run-true"      // Nothing answered as not run had a start sent.
	OnceOnly         Name = "once-only"         // A request that may not be repeated is started once per task.
	LeavingWorker    Name = "leaving-worker"    // No start goes to a leaving worker past the grace.
	LapsedAuthority  Name = "lapsed-authority"  // Nothing is done on a lapsed authority.
	KeyTeam          Name = "key-team"          // Keyed work is accepted only for the key's team.
	AccountAddsUp    Name = "account-adds-up"   // Accepted requests are answered or still there.
	ReservationFloor Name = "reservation-floor" // What is freed was reserved.
)

// Names lists every invariant in the order of their declaration.
func Names() []Name {
	return []Name{
		WorkerCapacity, OnePlace, TeamAllotment, AllotmentSum, RevisionForward, EpochForward, OneAnswer, OwnAnswer,
		NotRunTrue, OnceOnly, LeavingWorker, LapsedAuthority, KeyTeam, AccountAddsUp, ReservationFloor,
	}
}
