package node

import (
	"bytes"
	"strings"
	"testing"

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
	keys := []string{schedulerKey, epochKey, resignationKey, memberKey}
	for _, key := range keys {
		d.apply([]cyclamendyke.Entry{{Key: key, Value: []byte(`{`), Revision: 3}})
		is.True(strings.Contains(lines.String(), key))
	}
	is.Equal(d.view().epoch, uint64(7))
	is.Equal(len(d.members), 0)
}
