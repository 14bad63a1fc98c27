package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// panickingHandler panics at each call that it receives.
type panickingHandler struct{ Handler }

// TestBadMessagesDoNotEndTheProcess checks that a malformed workflow is refused before it reaches the handler, and
// that a panic of the handler makes the outcome of only that call unknown.
func TestBadMessagesDoNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(ServerConfig{Listener: listener, Handler: &panickingHandler{}})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	address := listener.Addr().String()
	for name, workflow := range map[string]*cyclamendyke.Workflow{
		"none":                  nil,
		"no steps":              {ID: "w"},
		"unknown earlier step":  {Steps: []cyclamendyke.Step{{Count: 1, After: []int{7}}}},
		"too many tasks":        {Steps: []cyclamendyke.Step{{Count: cyclamendyke.MaxTasks + 1}}},
		"too many occurrences":  {Repeat: 1 << 40, Steps: []cyclamendyke.Step{{Count: 1}}},
		"negative requirements": {Steps: []cyclamendyke.Step{{Count: 1, Need: cyclamendyke.Resources{Cores: -1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(cyclamendyke.KindOf(client.StoreWorkflow(ctx, address, workflow)), cyclamendyke.KindInvalid)
			is.Equal(cyclamendyke.KindOf(client.NotifySubmitted(ctx, address, Submission{Workflow: workflow})), cyclamendyke.KindInvalid)
		})
	}
	valid := &cyclamendyke.Workflow{Steps: []cyclamendyke.Step{{Count: 1}}}
	is.Equal(cyclamendyke.KindOf(client.StoreWorkflow(ctx, address, valid)), cyclamendyke.KindUnknown)
	is.Equal(cyclamendyke.KindOf(client.CheckStore(ctx, address)), cyclamendyke.KindUnknown)
}
