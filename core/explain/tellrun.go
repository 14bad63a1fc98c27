package explain

import (
	"cmp"
	"fmt"
	"strings"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// waited is in front of the time that a placed task waited.
const waited = "waited "

// tellRun tells what happened to a run of a task.
func (h *history) tellRun(r *orderedRecord) (string, bool) {
	switch dispatch.Event(r.Message) {
	case dispatch.EventPlaced:
		return h.tellPlaced(r), true
	case dispatch.EventAdopted:
		return h.tellAdopted(r), true
	case dispatch.EventStartUnknown:
		if known := h.task(r.Task).find(r); known != nil {
			known.isInDoubt = true
		}
		return "start in doubt: " + nameRun(r) + " may run or not, the target's answer is missing", true
	case dispatch.EventStartRefused:
		return h.tellStartRefused(r), true
	case dispatch.EventPreempted:
		return fmt.Sprintf("preempted: %s has to make room for %s", nameRun(r), strings.TrimPrefix(r.Reason, preemptedFor)), true
	case dispatch.EventStopOrdered:
		if known := h.task(r.Task).find(r); known != nil {
			known.stopReason = r.Reason
		}
		return fmt.Sprintf("stop ordered: %s, because: %s", nameRun(r), r.Reason), true
	case dispatch.EventEnded:
		return h.tellEnded(r), true
	}
	switch r.Message {
	case messageStartFailed:
		return fmt.Sprintf("this member could not start %s for the scheduler: %s", nameRun(r), r.Err), true
	case messagePace:
		return fmt.Sprintf("the pace of %s on %s could not be set: %s", r.Task, r.Target, r.Err), true
	}
	return "", false
}

func nameRun(r *orderedRecord) string {
	return fmt.Sprintf("run %d of %s on %s", r.Run, r.Task, r.Target)
}

func (h *history) tellPlaced(r *orderedRecord) string {
	task := h.task(r.Task)
	known := task.find(r)
	if known == nil {
		known = h.begin(task, r)
	}
	known.isPlaced = true
	text := "placed: " + nameRun(r)
	if len(task.runs) > 1 {
		text += fmt.Sprintf(", the task's run number %d", len(task.runs))
	}
	if wait, ok := strings.CutPrefix(r.Reason, waited); ok {
		text += "; it had waited " + wait
	}
	return text + "; the target had answered " + ago(r.Age)
}

func (h *history) tellAdopted(r *orderedRecord) string {
	task := h.task(r.Task)
	known := task.find(r)
	if known == nil {
		known = h.begin(task, r)
	}
	known.epoch, known.isInDoubt = r.Epoch, false
	if known.end == endNotFound {
		known.isOpen, known.end = true, ""
	}
	return fmt.Sprintf("adopted: the scheduler of epoch %d found %s", r.Epoch, nameRun(r))
}

func (h *history) tellStartRefused(r *orderedRecord) string {
	if known := h.task(r.Task).find(r); known != nil {
		known.close("refused")
	}
	return fmt.Sprintf("start refused: %s does not run: %s", nameRun(r), r.Reason)
}

func (h *history) tellEnded(r *orderedRecord) string {
	task := h.task(r.Task)
	known := task.find(r)
	if known == nil {
		known = &run{number: r.Run, target: r.Target, epoch: r.Epoch, startedAt: r.at}
		task.runs = append(task.runs, known)
	}
	text := "ended: " + nameRun(r) + " " + describeEnd(r)
	if !known.isOpen && known.end == r.Reason {
		return text + "; this had been reported before"
	}
	known.close(r.Reason)
	if r.Reason == string(cyclamendyke.EndDone) {
		h.noteDone(task, known, r)
	}
	if r.Age != 0 {
		text += fmt.Sprintf(", %v after its start was ordered", r.Age)
	}
	if r.Count == 0 {
		text += "; the target has not reported this, the scheduler concluded it"
	}
	return text
}

func (h *history) noteDone(task *taskHistory, ended *run, r *orderedRecord) {
	if task.done != nil && task.done != ended {
		h.flag(FindingDoneTwice, r, "two runs of %s ended as done: %d on %s and %d on %s",
			task.name, task.done.number, task.done.target, ended.number, ended.target)
	}
	task.done = cmp.Or(task.done, ended)
}

// describeEnd tells how a run ended.
func describeEnd(r *orderedRecord) string {
	switch cyclamendyke.EndKind(r.Reason) {
	case cyclamendyke.EndDone:
		return "is done"
	case cyclamendyke.EndFailed:
		return "failed"
	case cyclamendyke.EndStopped:
		return "was stopped"
	case cyclamendyke.EndLeaseExpired:
		return "is lost, its lease expired"
	case cyclamendyke.EndTargetEnded:
		return "is lost with its target, whose incarnation has ended"
	case cyclamendyke.EndGangMemberEnded:
		return "ended because another member of its gang did"
	case cyclamendyke.EndGangIncomplete:
		return "ended because the other members of its gang did not start"
	}
	return r.Reason
}
