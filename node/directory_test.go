package node

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"cyclamendyke"
)

// TestMalformedRecords checks that a malformed epoch does not replace the previous one, that a
// malformed member record removes the member, and that the log names the key.
func TestMalformedRecords(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	d := directory{log: log.New(&lines), changed: make(chan struct{}, 1)}
	memberKey := membersPrefix + "a"
	d.replace([]cyclamendyke.Entry{
		{Key: memberKey, Value: []byte(`{"name":"a"}`), Revision: 1},
		{Key: epochKey, Value: []byte(`7`), Revision: 2},
	})
	is.Equal(lines.Len(), 0)
	keys := []string{schedulerKey, epochKey, leaseRoundKey, leaseSilentKey, leaseEpochKey, memberKey}
	for _, key := range keys {
		d.apply([]cyclamendyke.Entry{{Key: key, Value: []byte(`{`), Revision: 3}})
		is.True(strings.Contains(lines.String(), key))
	}
	is.Equal(d.view().epoch, uint64(7))
	is.Equal(len(d.members), 0)
}

// pagedWatch is a store whose watches return at most a page of the changes that wait.
type pagedWatch struct {
	cyclamendyke.BatchStore
	changes int // Number of changes, one at each revision from 1 on.
	page    int
	done    context.CancelFunc // Called when all changes have been returned.
}

// Watch returns the next page of changes.
func (p *pagedWatch) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, _ time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	var page []cyclamendyke.Entry
	for revision := after + 1; int(revision) <= p.changes && len(page) < p.page; revision++ {
		page = append(page, cyclamendyke.Entry{Key: fmt.Sprint(prefix, revision), Revision: revision})
	}
	if len(page) == 0 {
		p.done()
		return nil, after, ctx.Err()
	}
	return page, page[len(page)-1].Revision, nil
}

// TestWatchDoesNotFallBehind watches a prefix with more changes than one answer holds; all must be applied
// without a pause until an answer is small again.
func TestWatchDoesNotFallBehind(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(&pagedWatch{changes: 2*largeBatch + 1, page: largeBatch, done: cancel}).Node
	applied, pauses := 0, 0
	n.watchFrom(ctx, "k/", 0, func() time.Duration { pauses++; return 0 }, func(entries []cyclamendyke.Entry) { applied += len(entries) })
	is.Equal(applied, 2*largeBatch+1)
	is.Equal(pauses, 1)
}

// TestUnknownSystemKey applies keys under system/ that this version does not know, as a later one may write.
func TestUnknownSystemKey(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	d := directory{log: log.New(&lines), changed: make(chan struct{}, 1)}
	d.replace([]cyclamendyke.Entry{
		{Key: systemPrefix + "x", Value: []byte(`{"name":"x"}`), Revision: 1},
		{Key: systemPrefix + "unknown-key-with-a-long-name", Value: []byte(`{"name":"y"}`), Revision: 2},
		{Key: membersPrefix + "a", Value: []byte(`{"name":"a"}`), Revision: 3},
	})
	is.Equal(d.memberNames(), []cyclamendyke.MemberName{"a"})
}
