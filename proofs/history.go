package proofs

import (
	"fmt"
	"sync"

	"cyclamendyke"
)

// Request is a submitted request and its outcome.
type Request struct {
	Payload    string // Unique in a simulation, so that the tasks that workers started can be looked up by it.
	Submission cyclamendyke.Submission
	Outcome    cyclamendyke.Outcome
	Answered   bool
}

// History records requests and their outcomes. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	requests []*Request
}

// Add records a request before it is sent.
func (h *History) Add(submission cyclamendyke.Submission) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := &Request{Payload: submission.Payload, Submission: submission}
	h.requests = append(h.requests, request)
	return request
}

// SetOutcome records the outcome that answered a request.
func (h *History) SetOutcome(request *Request, outcome cyclamendyke.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.Outcome = outcome
	request.Answered = true
}

// Requests returns a copy of the recorded requests.
func (h *History) Requests() []Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make([]Request, 0, len(h.requests))
	for _, request := range h.requests {
		requests = append(requests, *request)
	}
	return requests
}

// Check returns the first violation that it finds: an invariant that a daemon logged as broken, a task
// that ran in two places, an exceeded worker capacity or team limit, two schedulers in a zone, or an
// outcome that contradicts what the workers ran.
func (c *Cell) Check(history *History, limits map[cyclamendyke.TeamName]cyclamendyke.Resources) error {
	if violations := c.Violations(); len(violations) > 0 {
		return fmt.Errorf("invariant broken: %s", violations[0])
	}
	if duplicates := c.Fleet.DuplicateTasks(); len(duplicates) > 0 {
		return fmt.Errorf("task %s ran in two places", duplicates[0])
	}
	if err := c.checkReservations(limits); err != nil {
		return err
	}
	if err := c.checkOneScheduler(); err != nil {
		return err
	}
	for _, request := range history.Requests() {
		if err := c.checkRequest(request); err != nil {
			return fmt.Errorf("request %q answered %+v: %w", request.Payload, request.Outcome, err)
		}
	}
	return nil
}

// checkOneScheduler returns an error if two nodes both consider themselves the scheduler of a zone.
func (c *Cell) checkOneScheduler() error {
	schedulers := map[cyclamendyke.ZoneName]cyclamendyke.MemberName{}
	for _, node := range c.Nodes {
		if !node.isScheduler() {
			continue
		}
		if other, found := schedulers[node.Member.Zone]; found {
			return fmt.Errorf("%s and %s both schedule zone %s", other, node.Member.Name, node.Member.Zone)
		}
		schedulers[node.Member.Zone] = node.Member.Name
	}
	return nil
}

func (c *Cell) checkReservations(limits map[cyclamendyke.TeamName]cyclamendyke.Resources) error {
	reservedByTeam := map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	for _, vm := range c.workerVMs {
		var reserved cyclamendyke.Resources
		for _, task := range c.Fleet.Running(vm.Name) {
			reserved = reserved.Add(task.Reserved)
			reservedByTeam[task.Job.Team] = reservedByTeam[task.Job.Team].Add(task.Reserved)
		}
		if !reserved.FitsIn(vm.Capacity) {
			return fmt.Errorf("worker %s exceeds its capacity: its tasks reserve %+v", vm.Name, reserved)
		}
	}
	for team, limit := range limits {
		if limit.Cores > 0 && reservedByTeam[team].Cores > limit.Cores {
			return fmt.Errorf("team %s reserves %d milli-cores, above its limit of %d", team, reservedByTeam[team].Cores, limit.Cores)
		}
	}
	return nil
}

func (c *Cell) checkRequest(request Request) error {
	starts := c.Fleet.StartCount(request.Payload)
	switch {
	case request.Submission.NotRepeatable && starts > 1:
		return fmt.Errorf("not repeatable, but started %d times", starts)
	case !request.Answered:
		return nil
	case request.Outcome.Verdict == cyclamendyke.VerdictNotRun && starts > 0:
		return fmt.Errorf("reported as not run, but started %d times", starts)
	case request.Outcome.Verdict == cyclamendyke.VerdictRan:
		return checkResults(request)
	}
	return nil
}

// checkResults returns an error unless the outcome has exactly one result for each task of its request.
func checkResults(request Request) error {
	seen := map[int]bool{}
	for _, result := range request.Outcome.Results {
		if result.Task.Request != request.Outcome.Request || seen[result.Task.Index] {
			return fmt.Errorf("result of task %s is a duplicate or belongs to another request", result.Task)
		}
		seen[result.Task.Index] = true
	}
	if len(seen) != request.Submission.Tasks {
		return fmt.Errorf("%d results for %d tasks", len(seen), request.Submission.Tasks)
	}
	return nil
}
