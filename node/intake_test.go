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
	"cyclamendyke/io/member"
	"cyclamendyke/standin/kv"
)

// testFleet is a configuration with one queue that is open to all.
func testFleet() *cyclamendyke.FleetConfig {
	return &cyclamendyke.FleetConfig{
		Version:  1,
		Queues:   []cyclamendyke.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Open: true, MaxAttempts: 3}},
		Services: []cyclamendyke.Service{{Name: "s"}},
	}
}

// idleNode returns a node whose goroutines were not started, so that a test alone moves it.
func idleNode(store cyclamendyke.BatchStore) Callers {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: Config{
			Settings: cyclamendyke.FleetSettings{Node: "self"}, Store: store, Log: log.New(io.Discard), Requests: quietRequests(),
			Metrics: NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 }),
		},
		peers: member.NewClient(), ctx: ctx, cancel: cancel,
	}
	n.dir.log = n.cfg.Log
	n.dir.changed = make(chan struct{}, 1)
	n.fleet.Store(testFleet())
	return Callers{n}
}

func submission(limit int64) (*cyclamendyke.Workflow, error) {
	return &cyclamendyke.Workflow{Steps: []cyclamendyke.Step{{Count: 1}}}, nil
}

// TestRefusedMeansNotStored asks for an answer while the store and the other member fail in several ways.
func TestRefusedMeansNotStored(t *testing.T) {
	unreachable := memberRecord{Name: "other", Address: "127.0.0.1:1"}
	for _, test := range []struct {
		name   string
		faults kv.Faults
		other  bool
		want   cyclamendyke.IntakeResult
		stored bool
	}{
		{name: "stored", want: cyclamendyke.IntakeAccepted, stored: true},
		{name: "store down", faults: kv.Faults{Down: true}, want: cyclamendyke.IntakeUnavailable},
		{name: "store down, other member gone", faults: kv.Faults{Down: true}, other: true, want: cyclamendyke.IntakeUnavailable},
		{name: "answer lost", faults: kv.Faults{LoseAnswers: 1}, want: cyclamendyke.IntakeUnknown, stored: true},
		{name: "answer lost, other member gone", faults: kv.Faults{LoseAnswers: 1}, other: true, want: cyclamendyke.IntakeUnknown, stored: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			service := kv.New(kv.Config{})
			n := idleNode(service.As("self"))
			if test.other {
				n.dir.members = map[cyclamendyke.MemberName]memberRecord{"other": unreachable}
			}
			n.session.answered()
			service.SetFaults(test.faults)
			reply := n.Submit(context.Background(), cyclamendyke.IntakeCall{
				Host: "h", Path: "/q/0123456789abcdef", Deadline: time.Second,
			}, submission)
			is.Equal(reply.Result, test.want)
			service.SetFaults(kv.Faults{})
			_, err := service.As("test").Get(context.Background(), workKey("0123456789abcdef"))
			is.Equal(err == nil, test.stored)
		})
	}
}
