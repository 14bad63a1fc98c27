package explain

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// termKey identifies a term; two processes with the same epoch would be a fault and stay apart.
type termKey struct {
	epoch   uint64
	process cyclamendyke.MemberName
}

// term is the part of a scheduler's term that its lines show.
type term struct {
	first, last cyclamendyke.LogRecord
	ended       bool
}

func (c *Collector) noteTerm(record cyclamendyke.LogRecord) {
	if record.Epoch == 0 || !isDecision(record.Message) {
		return
	}
	key := termKey{record.Epoch, record.Process}
	known := c.terms[key]
	if known == nil {
		if len(c.terms) >= maxTerms {
			c.omitted++
			return
		}
		known = &term{first: record}
		c.terms[key] = known
	}
	known.last = record
	known.ended = known.ended || record.Message == messageTermEnded
}

// Scheduler is a process that was the scheduler, and the time for which its lines show that.
type Scheduler struct {
	Epoch   uint64                  `json:"epoch"`
	Process cyclamendyke.MemberName `json:"process"`
	From    string                  `json:"from"`
	Until   string                  `json:"until"`
	Ended   bool                    `json:"ended"` // The end of its term was logged.

	from, until time.Time
	began       bool // The beginning of its term was logged.
}

// schedulers returns the schedulers by epoch.
func (c *Collector) schedulers(clock clock) []Scheduler {
	list := make([]Scheduler, 0, len(c.terms))
	for key, t := range c.terms {
		list = append(list, Scheduler{
			Epoch: key.epoch, Process: key.process, Ended: t.ended,
			From: formatTime(&t.first), Until: formatTime(&t.last),
			from: clock.at(&t.first), until: clock.at(&t.last),
			began: t.first.Message == messageElected || t.first.Message == messageTermStarted,
		})
	}
	slices.SortFunc(list, func(a, b Scheduler) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Process, b.Process))
	})
	return list
}

// schedulerAt returns the scheduler of the latest epoch whose term covers a moment, or nil.
func schedulerAt(list []Scheduler, at time.Time) *Scheduler {
	for i := range slices.Backward(list) {
		if !at.Before(list[i].from) && !at.After(list[i].until) {
			return &list[i]
		}
	}
	return nil
}

// lastBefore returns the scheduler that was seen last before a moment, or nil.
func lastBefore(list []Scheduler, at time.Time) *Scheduler {
	var last *Scheduler
	for i := range list {
		if list[i].until.Before(at) && (last == nil || list[i].until.After(last.until)) {
			last = &list[i]
		}
	}
	return last
}

// firstAfter returns the scheduler that was seen first after a moment, or nil.
func firstAfter(list []Scheduler, at time.Time) *Scheduler {
	var first *Scheduler
	for i := range list {
		if list[i].from.After(at) && (first == nil || list[i].from.Before(first.from)) {
			first = &list[i]
		}
	}
	return first
}
