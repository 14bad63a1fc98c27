package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// testFleet returns a configuration with one queue that needs no key.
func testFleet() *cyclamendyke.FleetConfig {
	return &cyclamendyke.FleetConfig{
		Version:  1,
		Queues:   []cyclamendyke.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Open: true, MaxAttempts: 3}},
		Services: []cyclamendyke.Service{{Name: "s"}},
	}
}

// newIdleNode returns a node whose goroutines are not running, so that only the test changes it.
func newIdleNode(store cyclamendyke.BatchStore) Intake {
	n := newNode(Config{
		Settings: cyclamendyke.FleetSettings{Node: "self"}, Store: store, Codec: jsonCodec{}, Log: log.New(io.Discard), RequestLog: newDiscardRequestLog(),
		Metrics: NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 }),
	})
	n.fleetConfig.Store(testFleet())
	return Intake{n}
}

func readTestWorkflow(limit int64) (*cyclamendyke.Workflow, error) {
	return &cyclamendyke.Workflow{Steps: []cyclamendyke.Step{{Count: 1}}}, nil
}

// TestRefusedMeansNotStored checks that a request is refused as unavailable only if it was not stored,
// while the store and another member fail in several ways.
func TestRefusedMeansNotStored(t *testing.T) {
	unreachable := memberRecord{Name: "other", Address: "127.0.0.1:1"}
	for _, test := range []struct {
		name                 string
		storeFaults          kv.Faults
		hasUnreachableMember bool
		want                 cyclamendyke.IntakeResult
		wantStored           bool
	}{
		{name: "stored", want: cyclamendyke.IntakeAccepted, wantStored: true},
		{name: "store down", storeFaults: kv.Faults{Down: true}, want: cyclamendyke.IntakeUnavailable},
		{name: "store down, other member unreachable", storeFaults: kv.Faults{Down: true}, hasUnreachableMember: true, want: cyclamendyke.IntakeUnavailable},
		{name: "answer lost", storeFaults: kv.Faults{LoseAnswers: 1}, want: cyclamendyke.IntakeUnknown, wantStored: true},
		{name: "answer lost, other member unreachable", storeFaults: kv.Faults{LoseAnswers: 1}, hasUnreachableMember: true, want: cyclamendyke.IntakeUnknown, wantStored: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store := kv.New(kv.Config{})
			n := newIdleNode(store.As("self"))
			if test.hasUnreachableMember {
				n.dir.members = map[cyclamendyke.MemberName]memberRecord{"other": unreachable}
			}
			n.session.recordAnswer()
			store.SetFaults(test.storeFaults)
			reply := n.Submit(context.Background(), cyclamendyke.IntakeCall{
				Host: "h", Path: "/q/0123456789abcdef", Timeout: time.Second,
			}, readTestWorkflow)
			is.Equal(reply.Result, test.want)
			store.SetFaults(kv.Faults{})
			_, err := store.As("test").Get(context.Background(), workKey("0123456789abcdef"))
			is.Equal(err == nil, test.wantStored)
		})
	}
}
