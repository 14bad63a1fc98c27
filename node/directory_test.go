package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"cyclamendyke"
)

// TestUnreadableRecords checks that a malformed record leaves the previous state or drops the member,
// and that the log names its key.
func TestUnreadableRecords(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	d := directory{log: log.New(&lines), changed: make(chan struct{}, 1)}
	member := membersPrefix + "a"
	d.replace([]cyclamendyke.Entry{
		{Key: member, Value: []byte(`{"name":"a"}`), Revision: 1},
		{Key: epochKey, Value: []byte(`7`), Revision: 2},
	})
	is.Equal(lines.Len(), 0)
	keys := []string{schedulerKey, epochKey, resignedKey, member}
	for _, key := range keys {
		d.apply([]cyclamendyke.Entry{{Key: key, Value: []byte(`{`), Revision: 3}})
		is.True(strings.Contains(lines.String(), key))
	}
	is.Equal(d.view().epoch, uint64(7))
	is.Equal(len(d.members), 0)
}
