package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// slowCommits delays the commits of records and checks that no two at a time write the same workflow.
type slowCommits struct {
	cyclamendyke.BatchStore
	delay time.Duration

	mu       sync.Mutex
	inFlight map[string]bool // Workflows in the commits that are under way.
	commits  int             // Commits under way.
	most     int             // Most commits under way at a time.
	largest  int             // Most entries of a batch.
	clashes  int             // Commits of a workflow that another commit is writing.
}

// Commit delays a commit of records.
func (s *slowCommits) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	ids := recordedWorkflows(batch)
	if len(ids) == 0 {
		return s.BatchStore.Commit(ctx, batch)
	}
	s.begin(ids, batch.Entries())
	defer s.end(ids)
	time.Sleep(s.delay)
	return s.BatchStore.Commit(ctx, batch)
}

func (s *slowCommits) begin(ids []string, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	s.most = max(s.most, s.commits)
	s.largest = max(s.largest, entries)
	for _, id := range ids {
		if s.inFlight[id] {
			s.clashes++
		}
		s.inFlight[id] = true
	}
}

func (s *slowCommits) end(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits--
	for _, id := range ids {
		delete(s.inFlight, id)
	}
}

// recordedWorkflows returns the workflows whose records a batch writes.
func recordedWorkflows(batch cyclamendyke.Batch) []string {
	var ids []string
	for _, put := range batch.Puts {
		for _, prefix := range []string{progressPrefix, donePrefix} {
			if id, ok := strings.CutPrefix(put.Key, prefix); ok {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// TestManyEndsAreStoredAtATime runs many workflows on a store whose commits take long; several commits
// must be under way at a time, none larger than the store takes, and none may write the same workflow.
func TestManyEndsAreStoredAtATime(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	slow := &slowCommits{BatchStore: c.store.As("only"), delay: 20 * time.Millisecond, inFlight: map[string]bool{}}
	n := c.startNodeWithStore("only", slow)
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	const workflows = 120
	var submissions sync.WaitGroup
	for i := range workflows {
		submissions.Go(func() { submitUntilAccepted(t, n, fmt.Sprintf("%016x", i)) })
	}
	submissions.Wait()
	for i := range workflows {
		eventually(t, "completion", func() bool { return isCompleted(n, fmt.Sprintf("%016x", i)) })
	}
	slow.mu.Lock()
	defer slow.mu.Unlock()
	is.True(slow.most > 1)
	is.True(slow.most <= maxCommitsInFlight)
	is.True(slow.largest <= cyclamendyke.MaxBatchEntries)
	is.Equal(slow.clashes, 0)
}

// TestQueryWaitsForEnd asks once for each of some workflows, right after its task was started, which also
// ends at once; the answer must be that it has completed.
func TestQueryWaitsForEnd(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	completed := 0
	const workflows = 20
	for i := range workflows {
		id := fmt.Sprintf("%016x", i)
		submitUntilAccepted(t, n, id)
		eventually(t, "the start", func() bool { return c.target.startsOf(id) > 0 })
		if isCompleted(n, id) {
			completed++
		}
	}
	is.New(t).True(completed > workflows/2) // A pause of the machine may delay a few by more than queryWait.
}

// startsOf returns how often the first task of a workflow was started.
func (f *fakeTarget) startsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[cyclamendyke.TaskName{Workflow: cyclamendyke.WorkflowID(id)}]
}
