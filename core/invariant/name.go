package invariant

// Name identifies one invariant.
type Name string

// The invariants that the program asserts while it runs.
const (
	WorkerCapacity   Name = "worker-capacity"   // A worker's reservations fit its capacity.
	OnePlace         Name = "one-place"         // A task runs on at most one worker.
	TeamAllotment    Name = "team-allotment"    // A team's reservations in a zone fit its allotment there.
	AllotmentSum     Name = "allotment-sum"     // A team's allotments add up to no more than its upper limit.
	RevisionForward  Name = "revision-forward"  // A revision in force is never followed by an older one.
	EpochForward     Name = "epoch-forward"     // An epoch is never followed by a lower one.
	OneAnswer        Name = "one-answer"        // A request gets only one final answer.
	OwnAnswer        Name = "own-answer"        // An answer goes to the request that it names.
	NotRunTrue       Name = "not-run-true"      // If a task is reported as not run, no start was sent for it.
	OnceOnly         Name = "once-only"         // Each task of a non-repeatable request is started once.
	LeavingWorker    Name = "leaving-worker"    // No start goes to a leaving worker after the grace period.
	LapsedAuthority  Name = "lapsed-authority"  // A scheduler does nothing after its authority has expired.
	KeyTeam          Name = "key-team"          // A request with an API key is accepted only for the key's team.
	AccountAddsUp    Name = "account-adds-up"   // Each accepted request is either answered or still pending.
	ReservationFloor Name = "reservation-floor" // No more is released than was reserved.
	EvacuatedZone    Name = "evacuated-zone"    // Nothing is started in a zone that operators evacuate.
)

// Names returns all invariants in the order of their declaration.
func Names() []Name {
	return []Name{
		WorkerCapacity, OnePlace, TeamAllotment, AllotmentSum, RevisionForward, EpochForward, OneAnswer, OwnAnswer,
		NotRunTrue, OnceOnly, LeavingWorker, LapsedAuthority, KeyTeam, AccountAddsUp, ReservationFloor, EvacuatedZone,
	}
}
