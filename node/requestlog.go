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

// The limits of the log's volume.
const (
	bufferedLines      = 4096
	linesPerSecond     = 600
	lineBurst          = 2500
	dropReportInterval = time.Second // Minimum time between two reports of dropped lines.
)

// asyncWriter writes lines in its own goroutine, so that a blocked log reader never delays a decision.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64 // Lines dropped by a full queue or by the rate limiter.
	wg      sync.WaitGroup
}

// newAsyncWriter returns a writer to out that runs until it is closed.
func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, bufferedLines)}
	w.wg.Go(func() {
		for line := range w.lines {
			_, _ = out.Write(line) // There is nowhere to report that the log cannot be written.
		}
	})
	return w
}

// Write queues one line, or drops and counts it if the queue is full.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// close writes the queued lines and stops the writer.
func (w *asyncWriter) close() {
	close(w.lines)
	w.wg.Wait()
}

// rateLimiter limits the lines per second with a token bucket, and logs how many lines it dropped.
type rateLimiter struct {
	out             *asyncWriter
	clock           func() time.Time
	mu              sync.Mutex
	tokens          float64
	refilledAt      time.Time
	unreportedDrops int       // Lines dropped since the last report.
	reportedAt      time.Time // When dropped lines were last reported.
}

func newRateLimiter(out *asyncWriter, clock func() time.Time) *rateLimiter {
	return &rateLimiter{out: out, clock: clock, tokens: lineBurst, refilledAt: clock()}
}

// allow takes a token for one line, or counts the line as dropped and reports false.
func (l *rateLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.tokens = min(lineBurst, l.tokens+linesPerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		l.unreportedDrops++
		l.out.dropped.Add(1)
		return false
	}
	l.tokens--
	if l.unreportedDrops > 0 && now.Sub(l.reportedAt) >= dropReportInterval {
		_, _ = fmt.Fprintf(l.out, "time=%s level=warn msg=\"log lines dropped\" count=%d\n", now.Format(logTimeFormat), l.unreportedDrops)
		l.unreportedDrops = 0
		l.reportedAt = now
	}
	return true
}

// RequestLog logs requests, orders and decisions at a limited rate. A line above the limit is
// counted but never formatted, so it costs next to nothing.
type RequestLog struct {
	log     *log.Logger
	limiter *rateLimiter
}

func newRequestLog(out *asyncWriter, name string, clock func() time.Time) *RequestLog {
	return &RequestLog{log: newLogger(out, name), limiter: newRateLimiter(out, clock)}
}

// Info logs a message at level info, unless the limit is exceeded.
func (r *RequestLog) Info(message string, fields ...any) {
	if r.limiter.allow() {
		r.log.Info(message, fields...)
	}
}

// Warn logs a message at level warn, unless the limit is exceeded.
func (r *RequestLog) Warn(message string, fields ...any) {
	if r.limiter.allow() {
		r.log.Warn(message, fields...)
	}
}

// logTimeFormat is the time format of log lines.
const logTimeFormat = "15:04:05.000"

// newLogger returns a logger that writes logfmt.
func newLogger(out io.Writer, name string) *log.Logger {
	return log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: logTimeFormat,
		Fields: []any{"node", name},
	})
}
