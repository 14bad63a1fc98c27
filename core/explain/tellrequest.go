package explain

import (
	"fmt"

	"cyclamendyke"
)

// tellRequest tells how a caller's request was answered.
func (h *history) tellRequest(r *orderedRecord) (string, bool) {
	switch r.Message {
	case messageSubmit:
		return h.tellSubmit(r), true
	case messageCancel:
		return fmt.Sprintf("cancellation%s: %s%s", requestInputs(r), r.Result, storeInputs(r)), true
	case messageLook:
		return h.tellLook(r), true
	}
	return "", false
}

func (h *history) tellSubmit(r *orderedRecord) string {
	isAccepted := r.Result == cyclamendyke.IntakeAccepted
	isRepeated, wasAccepted := h.submitted != nil, h.wasAccepted()
	if !isRepeated || isAccepted && !wasAccepted {
		h.submitted = r
	}
	inputs := requestInputs(r)
	switch {
	case isAccepted && wasAccepted:
		return "submitted again, accepted as what is stored already" + inputs
	case isAccepted && isRepeated:
		return "submitted again, accepted and stored" + inputs
	case isAccepted:
		return "accepted and stored" + inputs
	}
	if r.Result == cyclamendyke.IntakeUnknown {
		return "the caller was told that the outcome is unknown; the store may hold the workflow" + inputs + storeInputs(r)
	}
	return fmt.Sprintf("refused, nothing was stored: %s%s%s", r.Result, inputs, storeInputs(r))
}

// wasAccepted reports whether a submission was accepted up to now.
func (h *history) wasAccepted() bool {
	return h.submitted != nil && h.submitted.Result == cyclamendyke.IntakeAccepted
}

func (h *history) tellLook(r *orderedRecord) string {
	if r.Result == cyclamendyke.IntakeNoWorkflow && h.wasAccepted() && h.final == nil {
		h.flag(FindingNotFound, r, "a caller was told that there is no such workflow, after it had been accepted and before it was final")
	}
	if r.Result == cyclamendyke.IntakeFound {
		return "shown to a caller" + requestInputs(r)
	}
	return fmt.Sprintf("a caller asked and was not shown the workflow%s: %s%s", requestInputs(r), r.Result, storeInputs(r))
}

// requestInputs tells by which request, for whom and under which configuration.
func requestInputs(r *orderedRecord) string {
	text := ""
	if r.Team != "" {
		text += fmt.Sprintf(" for team %s", r.Team)
	}
	if r.Queue != "" {
		text += fmt.Sprintf(" in queue %s", r.Queue)
	}
	if r.Version != 0 {
		text += fmt.Sprintf(" under configuration %d", r.Version)
	}
	if r.Request != "" {
		text += fmt.Sprintf(" (request %s)", r.Request)
	}
	return text
}

// storeInputs tells an error and how old the store's last answer was.
func storeInputs(r *orderedRecord) string {
	if r.Err == "" {
		return ""
	}
	return fmt.Sprintf("; the store had answered this process %s; %s", ago(r.StoreAge), r.Err)
}
