package explain

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

// history is what the records told up to now; they are applied in the order of time.
type history struct {
	subject      Subject
	schedulers   []Scheduler
	tasks        map[string]*taskHistory
	submitted    *orderedRecord // The first submission that was accepted, or else the first one.
	known        *orderedRecord // A scheduler's first record of the workflow.
	cancelled    *orderedRecord
	final        *orderedRecord
	lastUnplaced *orderedRecord
	findings     []Finding
	gaps         []Gap
}

// taskHistory is what is known of one task.
type taskHistory struct {
	name string
	runs []*run
	done *run // The first run that ended as done.
}

// run is one run of a task.
type run struct {
	number     int64
	target     cyclamendyke.TargetID
	epoch      uint64 // The last epoch whose scheduler knew the run.
	startedAt  time.Time
	isPlaced   bool // A record shows that it was placed.
	isOpen     bool // It may still be running.
	isInDoubt  bool // It may never have started.
	stopReason string
	end        string // How it ended; empty while it is open.
}

func newHistory(subject Subject, schedulers []Scheduler) *history {
	return &history{subject: subject, schedulers: schedulers, tasks: map[string]*taskHistory{}}
}

func (h *history) task(name string) *taskHistory {
	task := h.tasks[name]
	if task == nil {
		task = &taskHistory{name: name}
		h.tasks[name] = task
	}
	return task
}

// find returns the run with the record's number, or nil.
func (t *taskHistory) find(r *orderedRecord) *run {
	index := slices.IndexFunc(t.runs, func(known *run) bool { return known.number == r.Run && known.target == r.Target })
	if index < 0 {
		return nil
	}
	return t.runs[index]
}

// begin adds a run that is open, and flags what must not be.
func (h *history) begin(t *taskHistory, r *orderedRecord) *run {
	if t.done != nil && t.done.number != r.Run {
		h.flag(FindingStartedAfterDone, r, "%s was started again as run %d on %s after its run %d on %s had ended as done",
			t.name, r.Run, r.Target, t.done.number, t.done.target)
	}
	for _, other := range t.runs {
		if other.isOpen {
			h.flag(FindingTwoRuns, r, "%s was started as run %d on %s while its run %d on %s had not ended%s",
				t.name, r.Run, r.Target, other.number, other.target, other.doubt())
		}
	}
	begun := &run{number: r.Run, target: r.Target, epoch: r.Epoch, startedAt: r.at, isOpen: true}
	t.runs = append(t.runs, begun)
	return begun
}

func (r *run) doubt() string {
	if r.isInDoubt {
		return ", although it is in doubt whether that one started"
	}
	return ""
}

// close notes the end of a run.
func (r *run) close(end string) {
	r.isOpen, r.end = false, end
}

// unreportedRun is a run of an earlier epoch that no target has reported to a new one.
type unreportedRun struct {
	*run
	description string
}

// unreported returns the runs of earlier epochs that the scheduler of a new epoch has not found so far.
func (h *history) unreported(epoch uint64) []unreportedRun {
	var out []unreportedRun
	for _, name := range h.taskNames() {
		for _, r := range h.tasks[name].runs {
			if r.isOpen && r.epoch < epoch {
				out = append(out, unreportedRun{r, fmt.Sprintf("run %d of %s on %s", r.number, name, r.target)})
			}
		}
	}
	return out
}

// endNotFound is how a run ended that a new epoch did not find on any target.
const endNotFound = "not found by a new epoch"

func (h *history) taskNames() []string {
	names := make([]string, 0, len(h.tasks))
	for name := range h.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (h *history) flag(kind FindingKind, r *orderedRecord, format string, args ...any) {
	h.findings = append(h.findings, Finding{
		Kind: kind, Time: formatTime(&r.LogRecord), Text: fmt.Sprintf(format, args...), Caveat: caveats[kind],
	})
}

// caveats are the cases in which a finding is in order, where the logs do not tell them.
var caveats = map[FindingKind]string{
	FindingStartedAfterDone: "long-running steps are started again; the logs do not tell which steps are",
	FindingTwoRuns:          "speculative steps may do so; the logs do not tell which steps are",
	FindingDoneTwice:        "speculative steps may do so; the logs do not tell which steps are",
	FindingNeverPlaced:      "work that is due later waits; the logs do not tell when it is due",
}
