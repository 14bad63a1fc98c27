package node

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

// Write waits for the release.
func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(line)
}

// TestLogNeverBlocks checks that a blocked log reader causes lines to be dropped, not delayed.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	w := newAsyncWriter(blocked)
	const extra = 100
	for range bufferedLines + 1 + extra { // The blocked writer holds one line.
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	dropped := w.dropped.Load()
	is.True(dropped >= extra)
	close(blocked.release)
	w.close()
	is.Equal(strings.Count(blocked.String(), "\n")+int(dropped), bufferedLines+1+extra)
}

// countingStringer counts how often it is formatted.
type countingStringer struct{ count *int }

// String counts the call.
func (c countingStringer) String() string {
	*c.count++
	return "me"
}

// TestRequestLogRateLimit checks that lines above the rate limit are counted, and are not formatted.
func TestRequestLogRateLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := newAsyncWriter(&out)
	now := time.Unix(1000, 0)
	requests := newRequestLog(w, "a", func() time.Time { return now })
	formatted := 0
	for range lineBurst + 7 {
		requests.Info("decided", "by", countingStringer{&formatted})
	}
	now = now.Add(time.Second)
	requests.Warn("decided")
	w.close()
	is.Equal(strings.Count(out.String(), "msg=decided"), lineBurst+1)
	is.Equal(formatted, lineBurst) // Dropped lines are not formatted.
	is.True(strings.Contains(out.String(), `msg="log lines dropped" count=7`))
	is.Equal(w.dropped.Load(), int64(7))
}

// newDiscardRequestLog returns a request log without output.
func newDiscardRequestLog() *RequestLog {
	return newRequestLog(newAsyncWriter(io.Discard), "quiet", time.Now)
}
