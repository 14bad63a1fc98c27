package delays

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

// Row is what happened to the workflows of one queue that were first sent in one second.
type Row struct {
	Second  int                    `json:"second"`
	Queue   cyclamendyke.QueueName `json:"queue"`
	Sent    int                    `json:"sent"`
	Refused int                    `json:"refused"` // No attempt was accepted.
	Late    int                    `json:"late"`
	Long    int                    `json:"long"`   // Of the late ones, those that took at least Config.Long.
	Phases  string                 `json:"phases"` // In which the late ones spent most of their time, and how many did.
}

// Event is something that happened in one second and may explain delays.
type Event struct {
	Second int    `json:"second"`
	Text   string `json:"text"`
	Count  int    `json:"count"` // Lines that say so.
}

// Report is what the logs tell.
type Report struct {
	Rows   []Row   `json:"rows"` // Only those with late or refused workflows.
	Events []Event `json:"events"`
}

type rowKey struct {
	second int
	queue  cyclamendyke.QueueName
}

// Report returns what the records added up to now tell.
func (c *Collector) Report() Report {
	rows := map[rowKey]*Row{}
	phases := map[rowKey]map[string]int{}
	for id, sent := range c.submitted {
		key := rowKey{secondOf(sent.at), sent.queue}
		row := rows[key]
		if row == nil {
			row = &Row{Second: key.second, Queue: key.queue}
			rows[key], phases[key] = row, map[string]int{}
		}
		row.Sent++
		if !sent.accepted {
			row.Refused++
		}
		if late, isLate := c.late[id]; isLate {
			row.Late++
			phases[key][longestPhase(late.phases)]++
			if late.at-sent.at >= c.config.Long {
				row.Long++
			}
		}
	}
	report := Report{Rows: []Row{}, Events: []Event{}}
	for key, row := range rows {
		if row.Late+row.Refused > 0 {
			row.Phases = describePhases(phases[key])
			report.Rows = append(report.Rows, *row)
		}
	}
	for key, count := range c.events {
		report.Events = append(report.Events, Event{key.second, key.text, count})
	}
	slices.SortFunc(report.Rows, func(a, b Row) int { return cmp.Or(a.Second-b.Second, cmp.Compare(a.Queue, b.Queue)) })
	slices.SortFunc(report.Events, func(a, b Event) int { return cmp.Or(a.Second-b.Second, cmp.Compare(a.Text, b.Text)) })
	return report
}

// longestPhase returns the phase that took the most time in a text like "advice 27ms, run 996ms".
func longestPhase(text string) string {
	longest, name := time.Duration(-1), "unknown"
	for part := range strings.SplitSeq(text, ", ") {
		phase, spent, _ := strings.Cut(part, " ")
		if took, err := time.ParseDuration(spent); err == nil && took > longest {
			longest, name = took, phase
		}
	}
	return name
}

// describePhases lists phases with their counts, the most frequent first.
func describePhases(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b)) })
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
