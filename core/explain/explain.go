package explain

import (
	"slices"
	"time"

	"cyclamendyke"
)

// contextMargin is how long before the first and after the last record about the subject the context
// begins and ends.
const contextMargin = 2 * time.Second

// span is the time from the first to the last record about the subject.
type span struct {
	from, until time.Time
}

func (s span) withMargin() span {
	return span{s.from.Add(-contextMargin), s.until.Add(contextMargin)}
}

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && !at.After(s.until)
}

// Explain tells what the records added up to now say about the subject.
func (c *Collector) Explain() *Explanation {
	clock := newClock(c.streams)
	about, duplicates := clock.order(c.subject)
	explanation := &Explanation{
		Subject: c.config.Subject.String(), Found: len(about) > 0, Duplicates: duplicates, Omitted: c.omitted,
		Findings: []Finding{}, Entries: []Entry{}, Schedulers: []Scheduler{}, Missing: []Gap{},
	}
	if len(about) == 0 {
		explanation.Summary = "no line tells of it"
		explanation.Missing = append(explanation.Missing, c.cutGaps()...)
		return explanation
	}
	s := span{about[0].at, about[len(about)-1].at}
	schedulers := c.schedulers(clock)
	h := newHistory(c.config.Subject, schedulers)
	context, contextDuplicates := clock.order(c.contextWithin(clock, s.withMargin(), about))
	explanation.Duplicates += contextDuplicates
	explanation.Entries = h.replay(about, context)
	h.findUnplaced(clock.latest(c.streams))
	h.gaps = append(h.gaps, c.gaps(clock, s, schedulers)...)
	h.gaps = append(h.gaps, h.missingRecords()...)
	explanation.Summary = h.summary()
	explanation.Findings = append(explanation.Findings, h.doubtedFindings()...)
	explanation.Missing = append(explanation.Missing, h.gaps...)
	explanation.Schedulers = append(explanation.Schedulers, schedulersWithin(schedulers, s)...)
	return explanation
}

// contextWithin returns the context records of a span, of targets only where the subject ran.
func (c *Collector) contextWithin(clock clock, s span, about []orderedRecord) []cyclamendyke.LogRecord {
	targets := map[cyclamendyke.TargetID]bool{}
	for i := range about {
		targets[about[i].Target] = true
	}
	var within []cyclamendyke.LogRecord
	for i := range c.context {
		record := &c.context[i]
		isRelevant := !isAboutTarget(record.Message) || targets[record.Target]
		if isRelevant && record.Message != messageLinesDropped && s.contains(clock.at(record)) {
			within = append(within, *record)
		}
	}
	return within
}

// replay applies the records of both lists in the order of time and returns an entry for each.
func (h *history) replay(about, context []orderedRecord) []Entry {
	entries := make([]Entry, 0, len(about)+len(context))
	for len(about) > 0 || len(context) > 0 {
		if len(context) == 0 || len(about) > 0 && compareRecords(about[0], context[0]) <= 0 {
			r := &about[0]
			entries = append(entries, h.newEntry(EntrySubject, r, h.tell(r)))
			about = about[1:]
			continue
		}
		r := &context[0]
		entries = appendContext(entries, h.newEntry(EntryContext, r, h.tellContext(r)))
		context = context[1:]
	}
	return entries
}

func (h *history) newEntry(kind EntryKind, r *orderedRecord, text string) Entry {
	entry := Entry{
		Time: formatTime(&r.LogRecord), ClockStep: r.moved, Process: r.Process, Source: r.Source, Line: r.Line,
		Kind: kind, Event: r.Message, Text: text, Epoch: r.Epoch, Task: r.Task, Target: r.Target, Run: r.Run,
		Reason: r.Reason, Count: r.Count, Age: r.Age, Version: r.Version, StoreAge: r.StoreAge, State: r.State, Err: r.Err,
	}
	if kind == EntrySubject && r.Epoch == 0 {
		entry.Scheduler = nameScheduler(h.schedulers, r.at)
	}
	return entry
}

// appendContext adds a context entry, or only its process if it says the same as the last entry.
func appendContext(entries []Entry, entry Entry) []Entry {
	if len(entries) > 0 {
		last := &entries[len(entries)-1]
		if last.saysSame(&entry) {
			last.Others = append(last.Others, entry.Process)
			return entries
		}
	}
	return append(entries, entry)
}

// saysSame reports whether another process says the same about the fleet; errors may name addresses, so
// that they may differ.
func (e *Entry) saysSame(other *Entry) bool {
	return e.Kind == EntryContext && e.Event == other.Event && e.State == other.State && e.Reason == other.Reason &&
		e.Target == other.Target && e.Epoch == other.Epoch && e.Process != other.Process && !slices.Contains(e.Others, other.Process)
}
