package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/core/storepath"
)

// storePaths guards what is known of the paths to the store, and reports changes.
type storePaths struct {
	log     *log.Logger
	metrics *Metrics
	probe   chan struct{} // Wakes the renewal of the lease, which probes the own path.
	mu      sync.Mutex
	paths   *storepath.Paths
	state   storepath.State // The last state that was reported.
}

func newStorePaths(cfg Config) *storePaths {
	return &storePaths{
		log: cfg.Log, metrics: cfg.Metrics, probe: make(chan struct{}, 1), state: storepath.Good,
		paths: storepath.New(storepath.Config{Self: cfg.Settings.Node, Zone: cfg.Settings.Zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
	}
}

// update runs f on the paths, and reports if the state of the own path has changed.
func (s *storePaths) update(f func(now time.Duration, paths *storepath.Paths)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootTime()
	f(now, s.paths)
	s.report(s.paths.State(now))
}

// report logs that the own path broke or works again, and asks for a probe once it is suspect.
func (s *storePaths) report(state storepath.State) {
	if state == s.state {
		return
	}
	s.metrics.setStorePathState(state)
	switch {
	case state == storepath.Broken:
		s.log.Warn("own path to the store", "state", state)
	case s.state == storepath.Broken:
		s.log.Info("own path to the store", "state", state)
	}
	if s.state == storepath.Good {
		s.requestProbe()
	}
	s.state = state
}

// requestProbe makes the renewal of the lease, which probes the own path, due at once.
func (s *storePaths) requestProbe() {
	select {
	case s.probe <- struct{}{}:
	default:
	}
}

// ownState returns the state of the own path.
func (s *storePaths) ownState() (state storepath.State) {
	s.update(func(now time.Duration, paths *storepath.Paths) { state = paths.State(now) })
	return state
}

// hasNoPath reports whether this VM can store nothing.
func (s *storePaths) hasNoPath() (hasNoPath bool) {
	s.update(func(now time.Duration, paths *storepath.Paths) { hasNoPath = paths.HasNoPath(now) })
	return hasNoPath
}

// unavailable returns the reply to a request that had no effect for want of the store.
func (s *storePaths) unavailable() (reply cyclamendyke.IntakeReply) {
	s.update(func(now time.Duration, paths *storepath.Paths) {
		reply = cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeUnavailable, RetryAfter: paths.RetryAfter(now)}
	})
	return reply
}

// refusal returns the reply to a request that is refused for want of the store, and which may have been
// stored by an earlier attempt.
func (s *storePaths) refusal(id cyclamendyke.WorkflowID) (reply cyclamendyke.IntakeReply) {
	reply = s.unavailable()
	s.update(func(now time.Duration, paths *storepath.Paths) {
		if paths.InDoubt(now, id) {
			reply = cyclamendyke.IntakeReply{Result: cyclamendyke.IntakeUnknown}
		}
	})
	return reply
}

// callOutcome returns the outcome of a call to the store; each answer but a refusal shows that the path works.
func callOutcome(err error) storepath.Outcome {
	switch cyclamendyke.KindOf(err) {
	case cyclamendyke.KindUnknown, cyclamendyke.KindUnavailable, cyclamendyke.KindLimited:
		return writeOutcome(err)
	}
	return storepath.Answered
}

// writeOutcome returns the outcome of an attempt to store a workflow.
func writeOutcome(err error) storepath.Outcome {
	var connection *net.OpError
	switch {
	case err == nil:
		return storepath.Answered
	case errors.Is(err, context.Canceled):
		return storepath.Abandoned
	case cyclamendyke.KindOf(err) == cyclamendyke.KindUnknown:
		return storepath.Unknown
	case errors.As(err, &connection):
		return storepath.Unreachable
	}
	switch cyclamendyke.KindOf(err) {
	case cyclamendyke.KindInvalid, cyclamendyke.KindTooLarge:
		return storepath.Rejected
	case cyclamendyke.KindConflict:
		return storepath.Cancelled
	}
	return storepath.Refused
}
