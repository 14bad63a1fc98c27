package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

// nameScheduler tells who was the scheduler at a moment, as far as the lines show it.
func nameScheduler(list []Scheduler, at time.Time) string {
	if s := schedulerAt(list, at); s != nil {
		return fmt.Sprintf("epoch %d, %s", s.Epoch, s.Process)
	}
	last, next := lastBefore(list, at), firstAfter(list, at)
	switch {
	case last != nil && next != nil && isSuccessor(last, next):
		return fmt.Sprintf("none, between epoch %d, %s, until %s and epoch %d, %s, from %s",
			last.Epoch, last.Process, last.Until, next.Epoch, next.Process, next.From)
	case last == nil:
		return "no line shows one"
	case last.Ended:
		return fmt.Sprintf("no line shows one; the term of epoch %d, %s, had ended at %s", last.Epoch, last.Process, last.Until)
	}
	return fmt.Sprintf("no line shows one; last epoch %d, %s, at %s", last.Epoch, last.Process, last.Until)
}

// schedulersWithin returns the schedulers whose lines touch a span.
func schedulersWithin(list []Scheduler, s span) []Scheduler {
	return slices.DeleteFunc(slices.Clone(list), func(known Scheduler) bool {
		return known.until.Before(s.from) || known.from.After(s.until)
	})
}

// summary returns one sentence on how the work began, ran and ended.
func (h *history) summary() string {
	if r := h.submitted; r != nil && !h.wasAccepted() && h.known == nil && len(h.tasks) == 0 && h.final == nil {
		return h.summarizeRefusal()
	}
	return h.summarizeBeginning() + "; " + h.summarizeRuns() + "; " + h.summarizeEnd()
}

func (h *history) summarizeRefusal() string {
	r := h.submitted
	if r.Result == cyclamendyke.IntakeUnknown {
		return fmt.Sprintf("submitted at %s to %s, outcome unknown; no line shows that it was stored", formatTime(&r.LogRecord), r.Process)
	}
	return fmt.Sprintf("refused at %s by %s: %s; no line shows that it ran", formatTime(&r.LogRecord), r.Process, r.Result)
}

func (h *history) summarizeBeginning() string {
	switch r := h.submitted; {
	case r == nil && h.known == nil:
		return "no line shows when it was accepted"
	case r == nil:
		return "known to the scheduler from " + formatTime(&h.known.LogRecord)
	case r.Result == cyclamendyke.IntakeAccepted:
		return fmt.Sprintf("accepted at %s by %s%s", formatTime(&r.LogRecord), r.Process, requestInputs(r))
	default:
		return fmt.Sprintf("submitted at %s, result: %s", formatTime(&r.LogRecord), r.Result)
	}
}

// endOpen stands for runs without an end.
const endOpen = "without a logged end"

func (h *history) summarizeRuns() string {
	counts := map[string]int{}
	total := 0
	for _, task := range h.tasks {
		for _, r := range task.runs {
			total++
			if r.isOpen {
				counts[endOpen]++
			} else {
				counts[r.end]++
			}
		}
	}
	if total == 0 {
		return "no run"
	}
	ends := make([]string, 0, len(counts))
	for end, count := range counts {
		ends = append(ends, fmt.Sprintf("%d %s", count, end))
	}
	slices.Sort(ends)
	return fmt.Sprintf("%s of %s: %s", plural(total, "run"), plural(len(h.tasks), "task"), strings.Join(ends, ", "))
}

func (h *history) summarizeEnd() string {
	if h.final == nil {
		return "no line shows that it became final"
	}
	return fmt.Sprintf("%s at %s, %v after it was accepted", h.final.Reason, formatTime(&h.final.LogRecord), h.final.Age)
}

// findUnplaced flags a workflow that was accepted and never placed up to the end of the logs.
func (h *history) findUnplaced(end time.Time) {
	accepted := h.submitted
	if !h.wasAccepted() {
		accepted = h.known
	}
	if accepted == nil || len(h.tasks) > 0 || h.final != nil || h.cancelled != nil {
		return
	}
	if !covers(h.schedulers, span{accepted.at, end}) {
		h.gaps = append(h.gaps, Gap{GapPlacement, "whether it was placed: lines of schedulers after it was accepted are missing"})
		return
	}
	reason := "no line tells why"
	if h.lastUnplaced != nil {
		reason = "last reason: " + h.lastUnplaced.Reason
	}
	h.flag(FindingNeverPlaced, accepted, "it was accepted and not placed in the %v up to the end of the logs; %s",
		end.Sub(accepted.at).Round(time.Millisecond), reason)
}

// doubtedFindings returns the findings, with a caveat if lines are missing.
func (h *history) doubtedFindings() []Finding {
	isDoubtful := slices.ContainsFunc(h.gaps, func(g Gap) bool { return g.Kind.weakens() })
	if !isDoubtful {
		return h.findings
	}
	for i := range h.findings {
		caveat := &h.findings[i].Caveat
		if *caveat != "" {
			*caveat += "; "
		}
		*caveat += "lines are missing, which may show the reason"
	}
	return h.findings
}
