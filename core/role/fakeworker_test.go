package role_test

import (
	"time"

	"cyclamendyke"
)

// fakeWorker grants and refuses sessions by the platform's rules.
type fakeWorker struct {
	name    cyclamendyke.WorkerName
	fence   cyclamendyke.Epoch
	claim   cyclamendyke.Claim
	until   time.Time // End of the session.
	removed bool
}

// handleClaim answers a claim or renewal with the kind of its refusal, which is empty if it is granted.
func (w *fakeWorker) handleClaim(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	live := now.Before(w.until)
	same := w.claim.Epoch == claim.Epoch
	preempts := claim.StoreLease && w.claim.Mode == cyclamendyke.SessionPreemptible
	switch {
	case claim.Epoch.Compare(w.fence) < 0:
		return cyclamendyke.KindFenced
	case live && !same && !preempts:
		return cyclamendyke.KindSessionHeld
	}
	if live && same && claim.ModeVersion < w.claim.ModeVersion {
		claim.Mode, claim.ModeVersion = w.claim.Mode, w.claim.ModeVersion
	}
	w.fence = claim.Epoch
	w.claim = claim
	w.until = now.Add(claim.SessionTTL)
	return ""
}
