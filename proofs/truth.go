package proofs

import (
	"fmt"
	"sync"

	"cyclamendyke"
)

// Request is one request of a run with its answer.
type Request struct {
	Payload    string // Unique in the run, so that the workers' truth can be asked about it.
	Submission cyclamendyke.Submission
	Outcome    cyclamendyke.Outcome
	Answered   bool
}

// Ledger notes requests and answers; it is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests []*Request
}

// Add notes a request before it is sent.
func (l *Ledger) Add(submission cyclamendyke.Submission) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := &Request{Payload: submission.Payload, Submission: submission}
	l.requests = append(l.requests, request)
	return request
}

// Answer notes the answer to a request.
func (l *Ledger) Answer(request *Request, outcome cyclamendyke.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Outcome = outcome
	request.Answered = true
}

// Requests returns a copy of what is noted.
func (l *Ledger) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := make([]Request, 0, len(l.requests))
	for _, request := range l.requests {
		requests = append(requests, *request)
	}
	return requests
}

// Check compares the workers' truth, the limits and the answers so far, and returns the first breach.
func (c *Cell) Check(ledger *Ledger, limits map[cyclamendyke.TeamName]cyclamendyke.Resources) error {
	if broken := c.Violations(); len(broken) > 0 {
		return fmt.Errorf("invariant broken: %s", broken[0])
	}
	if doubled := c.Fleet.Doubled(); len(doubled) > 0 {
		return fmt.Errorf("task %s ran in two places", doubled[0])
	}
	if err := c.checkWorkers(limits); err != nil {
		return err
	}
	if err := c.checkSchedulers(); err != nil {
		return err
	}
	for _, request := range ledger.Requests() {
		if err := c.checkRequest(request); err != nil {
			return fmt.Errorf("request %q answered %+v: %w", request.Payload, request.Outcome, err)
		}
	}
	return nil
}

// checkSchedulers finds two nodes of one zone that both take themselves for its scheduler.
func (c *Cell) checkSchedulers() error {
	holders := map[cyclamendyke.ZoneName]cyclamendyke.MemberName{}
	for _, node := range c.Nodes {
		if !node.schedules() {
			continue
		}
		if other, taken := holders[node.Member.Zone]; taken {
			return fmt.Errorf("%s and %s both schedule zone %s", other, node.Member.Name, node.Member.Zone)
		}
		holders[node.Member.Zone] = node.Member.Name
	}
	return nil
}

func (c *Cell) checkWorkers(limits map[cyclamendyke.TeamName]cyclamendyke.Resources) error {
	teams := map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	for _, vm := range c.rows {
		var sum cyclamendyke.Resources
		for _, task := range c.Fleet.Running(vm.Name) {
			sum = sum.Add(task.Reserved)
			teams[task.Job.Team] = teams[task.Job.Team].Add(task.Reserved)
		}
		if !sum.FitsIn(vm.Capacity) {
			return fmt.Errorf("worker %s holds %+v", vm.Name, sum)
		}
	}
	for team, limit := range limits {
		if limit.Cores > 0 && teams[team].Cores > limit.Cores {
			return fmt.Errorf("team %s runs %d milli-cores above its limit of %d", team, teams[team].Cores, limit.Cores)
		}
	}
	return nil
}

func (c *Cell) checkRequest(request Request) error {
	runs := c.Fleet.Runs(request.Payload)
	switch {
	case request.Submission.NotRepeatable && runs > 1:
		return fmt.Errorf("started %d times", runs)
	case !request.Answered:
		return nil
	case request.Outcome.Verdict == cyclamendyke.VerdictNotRun && runs > 0:
		return fmt.Errorf("started %d times", runs)
	case request.Outcome.Verdict == cyclamendyke.VerdictRan:
		return checkResults(request)
	}
	return nil
}

// checkResults finds an answer that is not whole or not to this request.
func checkResults(request Request) error {
	seen := map[int]bool{}
	for _, result := range request.Outcome.Results {
		if result.Task.Request != request.Outcome.Request || seen[result.Task.Index] {
			return fmt.Errorf("result of task %s does not belong here", result.Task)
		}
		seen[result.Task.Index] = true
	}
	if len(seen) != request.Submission.Tasks {
		return fmt.Errorf("%d results for %d tasks", len(seen), request.Submission.Tasks)
	}
	return nil
}
