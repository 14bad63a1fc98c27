package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/standin/kv"
)

// slowToCancel is a client of targets whose call goes on for a while after it was cancelled.
type slowToCancel struct {
	cyclamendyke.Targets
	called   chan struct{}
	returned atomic.Bool
}

// Pace returns some time after the end of its context.
func (s *slowToCancel) Pace(ctx context.Context, _ cyclamendyke.Target, _ cyclamendyke.TaskName, _ int64, _ int, _ uint64) error {
	close(s.called)
	<-ctx.Done()
	time.Sleep(100 * time.Millisecond)
	s.returned.Store(true)
	return ctx.Err()
}

// TestCloseLeavesCallsOfTermBehind closes a node while a call of its term is under way.
func TestCloseLeavesCallsOfTermBehind(t *testing.T) {
	is := is.New(t)
	n := newIdleNode(kv.New(kv.Config{}).As("a")).Node
	targets := &slowToCancel{called: make(chan struct{})}
	n.cfg.Targets, n.cfg.Codec = targets, jsonCodec{}
	n.beginTerm(electionResult{})
	n.term.Load().execute(dispatch.PaceCommand{})
	<-targets.called
	n.Close()
	is.True(targets.returned.Load())
}
