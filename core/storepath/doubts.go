package storepath

import (
	"time"

	"cyclamendyke"
)

const (
	doubtFor  = 2 * time.Minute // A write without an answer may take effect seconds later, and its work may have ended when its caller comes back.
	maxDoubts = 4096
)

// doubts holds the workflows that an attempt without an answer may have stored. A later refusal of the same
// workflow must not say that it never runs.
type doubts struct {
	until map[cyclamendyke.WorkflowID]time.Duration
}

func (d *doubts) add(now time.Duration, id cyclamendyke.WorkflowID) {
	if d.until == nil {
		d.until = map[cyclamendyke.WorkflowID]time.Duration{}
	}
	if len(d.until) >= maxDoubts {
		d.forget(now)
	}
	d.until[id] = now + doubtFor
}

// forget drops the doubts that have passed or, if there is none, an arbitrary one.
func (d *doubts) forget(now time.Duration) {
	for id, until := range d.until {
		if until <= now {
			delete(d.until, id)
		}
	}
	for id := range d.until {
		if len(d.until) < maxDoubts {
			return
		}
		delete(d.until, id)
	}
}

func (d *doubts) settle(id cyclamendyke.WorkflowID) {
	delete(d.until, id)
}

func (d *doubts) has(now time.Duration, id cyclamendyke.WorkflowID) bool {
	return d.until[id] > now
}
