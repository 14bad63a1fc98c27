package delays

import (
	"math"
	"strings"
	"time"

	"cyclamendyke"
)

// The messages of the log lines that are read.
const (
	messageSubmit = "submit"
	messageLate   = "late"
)

// eventMessages are the messages of lines that may explain delays.
var eventMessages = map[string]bool{
	"elected": true, "term started": true, "settled": true, "term ended": true, "session lost": true, "store state changed": true,
	"own path to the store": true, "evacuation": true, "target avoided": true,
}

// Config configures a Collector.
type Config struct {
	Long time.Duration // Workflows that took at least this long are counted by themselves.
}

// Collector gathers what happened to the workflows that were sent in each second.
type Collector struct {
	config    Config
	start     time.Time // Of the first dated line.
	submitted map[cyclamendyke.WorkflowID]submission
	late      map[cyclamendyke.WorkflowID]lateness
	events    map[eventKey]int
}

// submission is when a workflow was first sent, and whether an attempt was accepted.
type submission struct {
	at       time.Duration
	queue    cyclamendyke.QueueName
	accepted bool
}

// lateness is how a late workflow spent its time.
type lateness struct {
	at     time.Duration
	phases string
}

type eventKey struct {
	second int
	text   string
}

// NewCollector returns an empty Collector.
func NewCollector(config Config) *Collector {
	return &Collector{
		config: config, submitted: map[cyclamendyke.WorkflowID]submission{}, late: map[cyclamendyke.WorkflowID]lateness{},
		events: map[eventKey]int{},
	}
}

// Wanted reports whether all fields of a line with a message are needed.
func (c *Collector) Wanted(message string, _ []byte) bool {
	return message == messageSubmit || message == messageLate || eventMessages[message]
}

// Add adds the next record of a file.
func (c *Collector) Add(record cyclamendyke.LogRecord) {
	if record.Truncated {
		return
	}
	at := c.timeOf(&record)
	switch {
	case record.Message == messageSubmit:
		c.addSubmission(at, &record)
	case record.Message == messageLate:
		_, phases, _ := strings.Cut(record.Reason, ": ")
		c.late[record.Workflow] = lateness{at, phases}
	case eventMessages[record.Message]:
		text := record.Message
		if record.State != "" {
			text += " " + record.State
		}
		c.events[eventKey{secondOf(at), text}]++
	}
}

// addSubmission counts a workflow in the second of its first attempt that was accepted or may be.
func (c *Collector) addSubmission(at time.Duration, record *cyclamendyke.LogRecord) {
	accepted := record.Result == cyclamendyke.IntakeAccepted
	if !accepted && record.Result != cyclamendyke.IntakeUnavailable && record.Result != cyclamendyke.IntakeUnknown {
		return
	}
	known, found := c.submitted[record.Workflow]
	if !found || at < known.at {
		known.at = at
	}
	known.queue, known.accepted = record.Queue, known.accepted || accepted
	c.submitted[record.Workflow] = known
}

// timeOf returns a record's time: what stands in front of the line, or the time since the first line.
func (c *Collector) timeOf(record *cyclamendyke.LogRecord) time.Duration {
	if record.HasElapsed {
		return record.Elapsed
	}
	if c.start.IsZero() {
		c.start = record.Time
	}
	return record.Time.Sub(c.start)
}

func secondOf(at time.Duration) int {
	return int(math.Floor(at.Seconds()))
}
