package node

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuckReader never takes a line until it is released.
type stuckReader struct {
	release chan struct{}
	bytes.Buffer
}

// Write waits until the reader is released.
func (r *stuckReader) Write(line []byte) (int, error) {
	<-r.release
	return r.Buffer.Write(line)
}

// TestLogNeverBlocks writes far more lines than are kept while the reader stands still.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader := &stuckReader{release: make(chan struct{})}
	w := newWriter(reader)
	const extra = 100
	for range lineBuffer + 1 + extra { // One line is with the reader.
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	dropped := w.dropped.Load()
	is.True(dropped >= extra)
	close(reader.release)
	w.close()
	is.Equal(strings.Count(reader.String(), "\n")+int(dropped), lineBuffer+1+extra)
}

// countedText counts how often it is written.
type countedText struct{ count *int }

// String returns a text.
func (c countedText) String() string {
	*c.count++
	return "me"
}

// TestLogBudget writes more lines than the budget has, and counts what was left out.
func TestLogBudget(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := newWriter(&out)
	now := time.Unix(1000, 0)
	requests := newRequestLog(w, "a", func() time.Time { return now })
	composed := 0
	for range lineBurst + 7 {
		requests.Info("decided", "by", countedText{&composed})
	}
	now = now.Add(time.Second)
	requests.Warn("decided")
	w.close()
	is.Equal(strings.Count(out.String(), "msg=decided"), lineBurst+1)
	is.Equal(composed, lineBurst) // What is left out costs next to nothing.
	is.True(strings.Contains(out.String(), `msg="lines left out" count=7`))
	is.Equal(w.dropped.Load(), int64(7))
}

// quietRequests returns a log that nobody reads.
func quietRequests() *RequestLog {
	return newRequestLog(newWriter(io.Discard), "quiet", time.Now)
}
