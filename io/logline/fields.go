package logline

import (
	"strconv"
	"time"

	"cyclamendyke"
)

// result is what became of decoding a line.
type result int

const (
	resultRecord    result = iota
	resultTruncated        // A log line that begins or ends early.
	resultOther            // Not a line of the logger.
)

// extent is how much of a line is decoded.
type extent bool

const (
	headOnly  extent = false // Only the time, the process, the message and the epoch.
	allFields extent = true
)

// decoder decodes a line's fields.
type decoder func(line []byte, into *fields, extent extent) result

// fields are the decoded fields of a line; those of the head may refer to the line.
type fields struct {
	time    time.Time
	hasTime bool
	dated   bool
	message []byte
	node    []byte
	epoch   uint64
	rest    cyclamendyke.LogRecord // The fields beyond the head.
}

// The formats of time stamps; only the first has no date.
const timeOfDay = "15:04:05.000"

var datedFormats = []string{time.RFC3339Nano, "2006-01-02T15:04:05.000", "2006/01/02 15:04:05", "2006-01-02 15:04:05.000"}

// setTime returns false if the text is not a time stamp.
func (f *fields) setTime(text string) bool {
	if at, err := time.Parse(timeOfDay, text); err == nil {
		// Without a date, time.Parse returns a time in the year 0.
		f.time, f.hasTime = at.AddDate(1, 0, 0), true
		return true
	}
	for _, format := range datedFormats {
		if at, err := time.Parse(format, text); err == nil {
			f.time, f.hasTime, f.dated = at.UTC(), true, true
			return true
		}
	}
	return false
}

// setHead sets a field of the head and returns false if the value is malformed.
func (f *fields) setHead(key string, value []byte) bool {
	switch key {
	case "time":
		return f.setTime(string(value))
	case "msg":
		f.message = value
	case "node":
		f.node = value
	case "epoch":
		return parse(&f.epoch, string(value), parseUint)
	}
	return true
}

// setRest sets a field beyond the head and returns false if the value is malformed.
func (f *fields) setRest(key, value string) bool {
	r := &f.rest
	switch key {
	case "request":
		r.Request = value
	case "workflow":
		r.Workflow = cyclamendyke.WorkflowID(value)
	case "task", "step":
		r.Task = value
	case "target":
		r.Target = cyclamendyke.TargetID(value)
	case "run":
		return parse(&r.Run, value, parseInt)
	case "reason":
		r.Reason = value
	case "count":
		return parse(&r.Count, value, strconv.Atoi)
	case "age":
		return parse(&r.Age, value, time.ParseDuration)
	case "team":
		r.Team = cyclamendyke.TeamName(value)
	case "queue":
		r.Queue = cyclamendyke.QueueName(value)
	case "result":
		r.Result = cyclamendyke.IntakeResult(value)
	case "version":
		return parse(&r.Version, value, parseInt)
	case "store-age":
		return parse(&r.StoreAge, value, time.ParseDuration)
	case "state":
		r.State = value
	case "member":
		r.Member = cyclamendyke.MemberName(value)
	case "err":
		r.Err = value
	}
	return true
}

// copyTo sets the fields beyond the head.
func (f *fields) copyTo(record *cyclamendyke.LogRecord) {
	rest := f.rest
	rest.Source, rest.Line, rest.Process = record.Source, record.Line, record.Process
	rest.Time, rest.Dated = record.Time, record.Dated
	rest.Elapsed, rest.HasElapsed = record.Elapsed, record.HasElapsed
	rest.Message, rest.Epoch = record.Message, record.Epoch
	*record = rest
}

func parse[T any](into *T, text string, parser func(string) (T, error)) bool {
	value, err := parser(text)
	if err != nil {
		return false
	}
	*into = value
	return true
}

func parseInt(text string) (int64, error) {
	return strconv.ParseInt(text, 10, 64)
}

func parseUint(text string) (uint64, error) {
	return strconv.ParseUint(text, 10, 64)
}
