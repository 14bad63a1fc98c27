package logline

import (
	"bytes"
	"strconv"
	"time"
)

// lead is what may stand in front of a line: a time in seconds and the name of the process.
type lead struct {
	ok      bool
	elapsed time.Duration
	name    []byte
}

// splitLead returns the lead of a line, if it has one, and the line without it.
func splitLead(line []byte) (lead, []byte) {
	line = bytes.TrimSpace(line)
	number, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok {
		return lead{}, line
	}
	seconds, err := strconv.ParseFloat(string(number), 64)
	if err != nil {
		return lead{}, line
	}
	name, body, ok := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !ok || bytes.ContainsAny(name, `={"`) {
		return lead{}, line
	}
	elapsed := time.Duration(seconds * float64(time.Second)).Round(time.Microsecond)
	return lead{ok: true, elapsed: elapsed, name: name}, bytes.TrimLeft(body, " ")
}
