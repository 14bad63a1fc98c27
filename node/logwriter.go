package node

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// The bounds of the log's volume.
const (
	lineBuffer     = 4096
	linesPerSecond = 600
	lineBurst      = 2500
	reportInterval = time.Second // Between two lines on what was left out.
)

// writer hands lines to a goroutine of its own, so that a slow reader of the log never holds up a decision.
type writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// newWriter returns a writer of out that runs until it is closed.
func newWriter(out io.Writer) *writer {
	w := &writer{lines: make(chan []byte, lineBuffer)}
	w.done.Go(func() {
		for line := range w.lines {
			_, _ = out.Write(line) // There is nowhere to report a log that cannot be written.
		}
	})
	return w
}

// Write queues one line, or counts it as dropped if the reader does not keep up.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// close writes what is queued and ends the writer.
func (w *writer) close() {
	close(w.lines)
	w.done.Wait()
}

// budget admits at most so many lines a second, and says later how many it left out.
type budget struct {
	to      *writer
	clock   func() time.Time
	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	leftOut int
	told    time.Time // When the last line on what was left out was written.
}

func newBudget(to *writer, clock func() time.Time) *budget {
	return &budget{to: to, clock: clock, tokens: lineBurst, filled: clock()}
}

// admits reports whether one more line may be written, and counts it.
func (b *budget) admits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.tokens = min(lineBurst, b.tokens+linesPerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		b.leftOut++
		b.to.dropped.Add(1)
		return false
	}
	b.tokens--
	if b.leftOut > 0 && now.Sub(b.told) >= reportInterval {
		_, _ = fmt.Fprintf(b.to, "time=%s level=warn msg=\"lines left out\" count=%d\n", now.Format(lineTime), b.leftOut)
		b.leftOut = 0
		b.told = now
	}
	return true
}

// RequestLog writes lines on single requests within a budget; a line beyond it is counted and not composed at all.
type RequestLog struct {
	log    *log.Logger
	budget *budget
}

func newRequestLog(to *writer, name string, clock func() time.Time) *RequestLog {
	return &RequestLog{log: newLogger(to, name), budget: newBudget(to, clock)}
}

// Info writes a line on what was decided.
func (r *RequestLog) Info(message string, fields ...any) {
	if r.budget.admits() {
		r.log.Info(message, fields...)
	}
}

// Warn writes a line on what did not go as it should.
func (r *RequestLog) Warn(message string, fields ...any) {
	if r.budget.admits() {
		r.log.Warn(message, fields...)
	}
}

// lineTime is the form of the time of a line.
const lineTime = "15:04:05.000"

// newLogger returns a logger of lines in logfmt.
func newLogger(out io.Writer, name string) *log.Logger {
	return log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: lineTime,
		Fields: []any{"node", name},
	})
}
