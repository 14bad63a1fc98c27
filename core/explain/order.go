package explain

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

const day = 24 * time.Hour

// orderedRecord is a record with its place in time.
type orderedRecord struct {
	cyclamendyke.LogRecord
	at    time.Time
	moved time.Duration // How far the place is behind the line's own time, because an earlier line of the process is later.
}

// clock turns the time stamps of all streams into comparable times.
type clock struct {
	useElapsed bool                        // All lines have a leading time, which is from one clock.
	shifts     map[streamKey]time.Duration // Whole days, for streams without dates.
}

// newClock chooses the days of streams without dates so that each begins as close as possible to the
// stream that stands first by process and file, where a stream with dates goes before others.
func newClock(streams map[streamKey]*stream) clock {
	keys := make([]streamKey, 0, len(streams))
	c := clock{useElapsed: len(streams) > 0, shifts: map[streamKey]time.Duration{}}
	for key, s := range streams {
		keys = append(keys, key)
		c.useElapsed = c.useElapsed && s.first.HasElapsed && s.last.HasElapsed
	}
	slices.SortFunc(keys, func(a, b streamKey) int {
		undatedLast := cmp.Compare(rank(streams[a].first.Dated), rank(streams[b].first.Dated))
		return cmp.Or(undatedLast, a.compare(b))
	})
	for _, key := range keys {
		if first := &streams[key].first; !first.Dated {
			apart := streams[keys[0]].first.Time.Sub(first.Time)
			c.shifts[key] = apart.Round(day)
		}
	}
	return c
}

func rank(dated bool) int {
	if dated {
		return 0
	}
	return 1
}

func (k streamKey) compare(other streamKey) int {
	return cmp.Or(cmp.Compare(k.process, other.process), cmp.Compare(k.source, other.source))
}

func (c clock) at(record *cyclamendyke.LogRecord) time.Time {
	if c.useElapsed && record.HasElapsed {
		return time.Time{}.Add(record.Elapsed)
	}
	if record.Dated {
		return record.Time
	}
	return record.Time.Add(c.shifts[streamKey{record.Process, record.Source}])
}

// order returns the records by time, without duplicates. A record never goes before an earlier one of its
// process in the same file.
func (c clock) order(records []cyclamendyke.LogRecord) (ordered []orderedRecord, duplicates int) {
	latest := map[streamKey]time.Time{}
	seen := map[cyclamendyke.LogRecord]bool{}
	for i := range records {
		record := &records[i]
		if content := contentOf(record); seen[content] {
			duplicates++
			continue
		} else {
			seen[content] = true
		}
		key := streamKey{record.Process, record.Source}
		own := c.at(record)
		at := own
		if last, ok := latest[key]; ok && last.After(at) {
			at = last
		}
		latest[key] = at
		ordered = append(ordered, orderedRecord{LogRecord: *record, at: at, moved: at.Sub(own)})
	}
	slices.SortStableFunc(ordered, compareRecords)
	return ordered, duplicates
}

// contentOf returns the record without its place in a file.
func contentOf(record *cyclamendyke.LogRecord) cyclamendyke.LogRecord {
	content := *record
	content.Source, content.Line = "", 0
	return content
}

func compareRecords(a, b orderedRecord) int {
	aKey, bKey := streamKey{a.Process, a.Source}, streamKey{b.Process, b.Source}
	return cmp.Or(a.at.Compare(b.at), aKey.compare(bKey), cmp.Compare(a.Line, b.Line))
}

// formatTime returns the line's own time stamp.
func formatTime(record *cyclamendyke.LogRecord) string {
	if record.Dated {
		return record.Time.Format("2006-01-02T15:04:05.000Z")
	}
	return record.Time.Format("15:04:05.000")
}
