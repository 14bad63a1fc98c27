package explain

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"cyclamendyke/core/dispatch"
)

// tell applies a record to the history and returns what it says in plain words.
func (h *history) tell(r *orderedRecord) string {
	if h.subject.isPreemptedFor(&r.LogRecord) {
		return fmt.Sprintf("run %d of %s on %s was preempted to make room for %s", r.Run, r.Task, r.Target, strings.TrimPrefix(r.Reason, preemptedFor))
	}
	if text, ok := h.tellRequest(r); ok {
		return text
	}
	if text, ok := h.tellWorkflow(r); ok {
		return text
	}
	if text, ok := h.tellRun(r); ok {
		return text
	}
	return tellOther(r)
}

// tellWorkflow tells what a scheduler decided about a workflow or a step.
func (h *history) tellWorkflow(r *orderedRecord) (string, bool) {
	switch dispatch.Event(r.Message) {
	case dispatch.EventAccepted:
		return h.tellAccepted(r), true
	case dispatch.EventAdvised:
		return fmt.Sprintf("advice for step %s allows %s; the answer took %v", r.Task, plural(r.Count, "target"), r.Age), true
	case dispatch.EventUnplaced:
		h.lastUnplaced = r
		return fmt.Sprintf("step %s waits: %s", r.Task, r.Reason), true
	case dispatch.EventCancelled:
		h.cancelled = cmp.Or(h.cancelled, r)
		return "the scheduler cancelled the workflow", true
	case dispatch.EventLate:
		return fmt.Sprintf("the workflow took %v, longer than its target time; queue and time by phase, summed over its steps: %s", r.Age, r.Reason), true
	case dispatch.EventFinal:
		return h.tellFinal(r), true
	}
	switch r.Message {
	case messageAdviceFailed:
		return fmt.Sprintf("advice for step %s could not be had through %s; it is asked for again: %s", r.Task, r.Member, r.Err), true
	case messageCannotNotify:
		return "the scheduler could not be told of the workflow and has to find it in the store: " + r.Err, true
	}
	return "", false
}

func (h *history) tellAccepted(r *orderedRecord) string {
	text := fmt.Sprintf("the scheduler knows the workflow, with %s", plural(r.Count, "step"))
	if h.known != nil && h.known.Epoch != r.Epoch {
		text += fmt.Sprintf("; a new epoch adopted it, after epoch %d", h.known.Epoch)
	}
	h.known = cmp.Or(h.known, r)
	return text
}

func (h *history) tellFinal(r *orderedRecord) string {
	if h.final != nil && h.final.Reason != r.Reason {
		h.flag(FindingTwoFinals, r, "the workflow became %s after it had been %s", r.Reason, h.final.Reason)
	}
	h.final = cmp.Or(h.final, r)
	return fmt.Sprintf("the workflow is %s, %v after it was accepted; callers are shown this once the store keeps it", r.Reason, r.Age)
}

// tellOther tells a record of a message that this package does not know.
func tellOther(r *orderedRecord) string {
	text := r.Message
	for _, field := range [][2]string{
		{"task", r.Task}, {"target", string(r.Target)}, {"reason", r.Reason}, {"state", r.State}, {"error", r.Err},
	} {
		if field[1] != "" {
			text += fmt.Sprintf(", %s %s", field[0], field[1])
		}
	}
	return text
}

func plural(count int, noun string) string {
	if count == 0 {
		return "no " + noun
	}
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

// ago tells the age of an input, which a line leaves out if it is zero.
func ago(age time.Duration) string {
	if age == 0 {
		return "just now"
	}
	return age.String() + " before"
}
