package node

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// TestWorkflowOfManyStepsDoesNotFitInValue hands in as many steps as a body has room for, the stored form of which is longer.
func TestWorkflowOfManyStepsDoesNotFitInValue(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Config{})
	n := newIdleNode(store.As("self"))
	n.session.recordAnswer()
	want := &cyclamendyke.Workflow{Steps: make([]cyclamendyke.Step, 30_000)}
	for i := range want.Steps {
		want.Steps[i] = cyclamendyke.Step{Count: 1, After: []int{max(0, i-1)}}
	}
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/0123456789abcdef", Timeout: 10 * time.Second}
	reply := n.Submit(context.Background(), call, func(int64) (*cyclamendyke.Workflow, error) { return want, nil })
	is.Equal(reply.Result, cyclamendyke.IntakeAccepted)
	entry, err := store.As("test").Get(context.Background(), workKey("0123456789abcdef"))
	is.NoErr(err)
	is.True(bytes.HasPrefix(entry.Value, gzipMagic))
	submission, found := n.findWorkflow([]cyclamendyke.Entry{entry}, "0123456789abcdef")
	is.True(found)
	is.Equal(len(submission.Workflow.Steps), len(want.Steps))
	is.Equal(submission.Workflow.Steps[29_999], want.Steps[29_999])
	is.True(decodeWorkflow(entry.Value[:100], &cyclamendyke.Workflow{}) != nil)
}
