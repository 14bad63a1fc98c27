package storepath

// Outcome is how a call to the store or to a member ended.
type Outcome int

// The outcomes of a call.
const (
	Answered    Outcome = iota // The call was answered; a write is stored.
	Refused                    // The call had no effect.
	Unreachable                // The call was not sent, since there was no connection; it had no effect.
	Unknown                    // The call may take effect.
	Rejected                   // The path works, but the store does not take this write by any path; it had no effect.
	Cancelled                  // The path works, and the store shows that the work was cancelled: no attempt of this write has or takes effect.
	Abandoned                  // The caller gave up, which says nothing about the path; the call may take effect.
)

func (o Outcome) mayTakeEffect() bool {
	return o == Unknown || o == Abandoned
}
