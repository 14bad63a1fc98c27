package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

const (
	maxNamed       = 5 // Items of a kind that a gap names; the others are counted.
	messageServing = "serving"
)

// gaps returns what the logs as a whole do not tell of a span.
func (c *Collector) gaps(clock clock, s span, schedulers []Scheduler) []Gap {
	gaps := c.droppedGaps(clock, s)
	gaps = append(gaps, c.cutGaps()...)
	gaps = append(gaps, schedulerGaps(schedulers, s)...)
	gaps = append(gaps, c.lateLogs(clock, s)...)
	if c.omitted > 0 {
		gaps = append(gaps, Gap{GapNotKept, fmt.Sprintf("%s beyond the limit of what is kept", plural(c.omitted, "line"))})
	}
	return gaps
}

// droppedGaps tells how many lines the limits of the processes' logs left out.
func (c *Collector) droppedGaps(clock clock, s span) []Gap {
	dropped := map[cyclamendyke.MemberName]int{}
	for i := range c.context {
		record := &c.context[i]
		if record.Message == messageLinesDropped && s.withMargin().contains(clock.at(record)) {
			dropped[record.Process] += record.Count
		}
	}
	gaps := make([]Gap, 0, len(dropped))
	for _, process := range slices.Sorted(maps.Keys(dropped)) {
		gaps = append(gaps, Gap{GapLinesDropped, fmt.Sprintf("%s left out %s on requests and runs in this time, over the limit of its log",
			nameProcess(process), plural(dropped[process], "line"))})
	}
	return gaps
}

func nameProcess(process cyclamendyke.MemberName) string {
	if process == "" {
		return "a process that is not named"
	}
	return string(process)
}

func (c *Collector) cutGaps() []Gap {
	if len(c.cut) == 0 {
		return nil
	}
	places := make([]string, 0, len(c.cut))
	for i := range c.cut {
		places = append(places, fmt.Sprintf("%s:%d", c.cut[i].Source, c.cut[i].Line))
	}
	slices.Sort(places)
	return []Gap{{GapCutLines, "cut lines that name it: " + joinSome(places)}}
}

// joinSome joins at most maxNamed items and counts the others.
func joinSome(items []string) string {
	if len(items) <= maxNamed {
		return strings.Join(items, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(items[:maxNamed], ", "), len(items)-maxNamed)
}

// lateLogs tells which processes' logs begin after the first line about the subject, but not with a
// start of the process.
func (c *Collector) lateLogs(clock clock, s span) []Gap {
	firsts := map[cyclamendyke.MemberName]*cyclamendyke.LogRecord{}
	for key, known := range c.streams {
		first := firsts[key.process]
		if first == nil || clock.at(&known.first).Before(clock.at(first)) {
			firsts[key.process] = &known.first
		}
	}
	var late []string
	for _, process := range slices.Sorted(maps.Keys(firsts)) {
		first := firsts[process]
		if clock.at(first).After(s.from) && first.Message != messageServing {
			late = append(late, fmt.Sprintf("%s at %s", nameProcess(process), formatTime(first)))
		}
	}
	if len(late) == 0 {
		return nil
	}
	return []Gap{{GapLogBegins, "logs that begin after the first line about it: " + joinSome(late)}}
}

// latest returns the time of the last line of all.
func (c clock) latest(streams map[streamKey]*stream) time.Time {
	var latest time.Time
	for _, known := range streams {
		if at := c.at(&known.last); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// missingRecords tells which records there must have been, given those that were read.
func (h *history) missingRecords() []Gap {
	var starts, ends []string
	for _, name := range h.taskNames() {
		for _, r := range h.tasks[name].runs {
			text := fmt.Sprintf("run %d of %s on %s", r.number, name, r.target)
			if !r.isPlaced {
				starts = append(starts, text)
			}
			if r.isOpen && h.final != nil {
				ends = append(ends, text)
			}
		}
	}
	var gaps []Gap
	if h.submitted == nil {
		gaps = append(gaps, Gap{GapAcceptance, "who submitted it, and when it was stored"})
	}
	if h.submitted != nil && h.known == nil && (len(h.tasks) > 0 || h.final != nil) {
		gaps = append(gaps, Gap{GapAcceptance, "when the scheduler came to know it"})
	}
	if len(starts) > 0 {
		gaps = append(gaps, Gap{GapStart, "the start of " + joinSome(starts)})
	}
	if len(ends) > 0 {
		gaps = append(gaps, Gap{GapEnd, "the end of " + joinSome(ends)})
	}
	if h.final != nil && h.final.Reason == string(cyclamendyke.WorkflowCompleted) && len(h.tasks) == 0 {
		gaps = append(gaps, Gap{GapPlacement, "where it ran, although it is completed"})
	}
	if h.final != nil {
		gaps = append(gaps, Gap{GapNeverLogged, "callers to whom it was shown: only questions without an answer are logged"})
	}
	return gaps
}
