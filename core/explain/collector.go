package explain

import (
	"bytes"

	"cyclamendyke"
)

// The limits of what a Collector keeps.
const (
	DefaultMaxRecords = 50_000 // Records about the subject, and as many about the fleet.
	maxStreams        = 10_000 // Processes times files.
	maxTerms          = 10_000 // Terms of schedulers.
)

// Config configures a Collector.
type Config struct {
	Subject    Subject
	MaxRecords int // DefaultMaxRecords if zero.
}

// Collector keeps the records that matter for one subject; its memory is bounded.
type Collector struct {
	config  Config
	subject []cyclamendyke.LogRecord
	context []cyclamendyke.LogRecord
	cut     []cyclamendyke.LogRecord // Lines that name the subject and begin or end early.
	streams map[streamKey]*stream
	terms   map[termKey]*term
	writers map[string]cyclamendyke.MemberName // The only process of each file; empty if there are several.
	omitted int                                // Records that the limits left out.
}

// streamKey identifies the lines of one process in one file.
type streamKey struct {
	process cyclamendyke.MemberName
	source  string
}

// stream is what is known of the lines of one process in one file, which are in the order in which
// the process wrote them.
type stream struct {
	first, last cyclamendyke.LogRecord
}

// NewCollector returns an empty Collector.
func NewCollector(config Config) *Collector {
	if config.MaxRecords == 0 {
		config.MaxRecords = DefaultMaxRecords
	}
	return &Collector{config: config, streams: map[streamKey]*stream{}, terms: map[termKey]*term{}, writers: map[string]cyclamendyke.MemberName{}}
}

// Wanted reports whether a line with a message may matter for the subject or its context.
func (c *Collector) Wanted(message string, line []byte) bool {
	return isContext(message) || bytes.Contains(line, []byte(c.config.Subject.Workflow))
}

// Add adds the next record of a file.
func (c *Collector) Add(record cyclamendyke.LogRecord) {
	c.nameProcess(&record)
	isAboutSubject := c.config.Subject.matches(&record)
	switch {
	case record.Truncated:
		if !isContext(record.Message) {
			c.keep(&c.cut, record)
		}
		return
	case !c.noteStream(record):
		c.omitted++
		return
	case isAboutSubject && isIncomplete(&record):
		c.keep(&c.cut, record)
		return
	}
	c.noteTerm(record)
	switch {
	case isAboutSubject:
		c.keep(&c.subject, record)
	case isContext(record.Message) && !isRoutine(&record):
		c.keep(&c.context, record)
	}
}

// nameProcess sets the process of a line that does not name it, if the file is of one process only.
func (c *Collector) nameProcess(record *cyclamendyke.LogRecord) {
	writer, known := c.writers[record.Source]
	switch {
	case record.Process == "":
		record.Process = writer
	case !known:
		c.writers[record.Source] = record.Process
	case writer != record.Process:
		c.writers[record.Source] = ""
	}
}

func isRoutine(record *cyclamendyke.LogRecord) bool {
	return record.Message == messageTargetChanged && isTargetRoutine(record.Reason)
}

func (c *Collector) keep(list *[]cyclamendyke.LogRecord, record cyclamendyke.LogRecord) {
	if len(*list) >= c.config.MaxRecords {
		c.omitted++
		return
	}
	*list = append(*list, record)
}

// noteStream returns false if there are too many streams.
func (c *Collector) noteStream(record cyclamendyke.LogRecord) bool {
	key := streamKey{record.Process, record.Source}
	known := c.streams[key]
	if known != nil {
		known.last = record
		return true
	}
	if len(c.streams) >= maxStreams {
		return false
	}
	c.streams[key] = &stream{first: record, last: record}
	return true
}
