package logline

import (
	"bufio"
	"errors"
	"io"

	"cyclamendyke"
)

// MaxLineBytes is the length of the longest line that is read; longer ones are only counted.
const MaxLineBytes = 256 << 10

// Config configures a Reader.
type Config struct {
	Source string
	Input  io.Reader
	// Wanted reports whether all fields of a line are needed. Of other lines, only the time, the
	// process, the message and the epoch are set. It must not keep the line.
	Wanted func(message string, line []byte) bool
}

// Reader reads the records of one log, whose lines may be of different formats.
type Reader struct {
	config Config
	input  *bufio.Reader
	line   int
	counts Counts
	names  interner
	days   map[cyclamendyke.MemberName]*dayCounter
}

// NewReader returns a Reader for one log.
func NewReader(config Config) *Reader {
	return &Reader{
		config: config,
		input:  bufio.NewReaderSize(config.Input, MaxLineBytes),
		names:  interner{},
		days:   map[cyclamendyke.MemberName]*dayCounter{},
	}
}

// Counts returns the lines read up to now.
func (r *Reader) Counts() Counts {
	return r.counts
}

// Next returns the next record, or io.EOF at the end. It skips and counts lines of other origin.
func (r *Reader) Next() (cyclamendyke.LogRecord, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return cyclamendyke.LogRecord{}, err
		}
		if record, ok := r.decode(line); ok {
			return record, nil
		}
	}
}

// readLine returns the next line, which is valid until the next call. It skips and counts lines that
// are too long.
func (r *Reader) readLine() ([]byte, error) {
	for {
		line, err := r.input.ReadSlice('\n')
		isTooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = r.input.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if isTooLong {
			r.line++
			r.counts.TooLong++
			continue
		}
		if len(line) == 0 {
			return nil, io.EOF
		}
		r.line++
		return line, nil
	}
}

// decode returns the record of a line, or false if there is nothing to learn from it.
func (r *Reader) decode(line []byte) (cyclamendyke.LogRecord, bool) {
	lead, body := splitLead(line)
	decoder, count := r.decoderFor(body)
	var head fields
	result := decoder(body, &head, headOnly)
	record := r.newRecord(lead, &head)
	switch {
	case result == resultOther:
		r.counts.Other++
		return record, false
	case result == resultTruncated:
		r.counts.Truncated++
		record.Truncated = true
		return record, r.config.Wanted(record.Message, line)
	case !r.config.Wanted(record.Message, body):
		*count++
		return record, true
	}
	var all fields
	if decoder(body, &all, allFields) == resultTruncated {
		r.counts.Truncated++
		record.Truncated = true
		return record, true
	}
	*count++
	all.copyTo(&record)
	return record, true
}

func (r *Reader) decoderFor(body []byte) (decoder, *int) {
	if len(body) > 0 && body[0] == '{' {
		return decodeJSON, &r.counts.JSON
	}
	return decodeLogfmt, &r.counts.Logfmt
}

func (r *Reader) newRecord(lead lead, head *fields) cyclamendyke.LogRecord {
	record := cyclamendyke.LogRecord{
		Source: r.config.Source, Line: r.line,
		Elapsed: lead.elapsed, HasElapsed: lead.ok,
		Message: r.names.intern(head.message), Epoch: head.epoch,
	}
	record.Process = cyclamendyke.MemberName(r.names.intern(head.node))
	if record.Process == "" {
		record.Process = cyclamendyke.MemberName(r.names.intern(lead.name))
	}
	if head.hasTime {
		record.Time, record.Dated = r.dayCounter(record.Process).date(head.time, head.dated), head.dated
	}
	return record
}

func (r *Reader) dayCounter(process cyclamendyke.MemberName) *dayCounter {
	if counter := r.days[process]; counter != nil {
		return counter
	}
	counter := &dayCounter{}
	if len(r.days) < maxNames {
		r.days[process] = counter
	}
	return counter
}
