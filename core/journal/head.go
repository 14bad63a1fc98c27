package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"cyclamendyke"
)

// head is the value of the key that every commit writes.
type head struct {
	Epoch    cyclamendyke.Epoch `json:"epoch"`    // The only epoch that may write it next, or a higher one.
	Commit   uint64             `json:"commit"`   // Unique for each attempt to write.
	Segments []string           `json:"segments"` // In order of writing; unlisted segments are void.
	Records  []stored           `json:"records"`  // Newer than the segments.
}

// segment is the value of one sealed segment.
type segment struct {
	Records []stored `json:"records"`
}

// stored is one encoded record; a later one of the same request replaces it.
type stored struct {
	Request cyclamendyke.RequestID `json:"request"`
	Final   bool                   `json:"final,omitempty"`
	At      time.Time              `json:"at"` // When it was handed to the journal.
	Record  json.RawMessage        `json:"record"`
}

// storedOverhead is what a record takes besides its own encoding, in bytes.
const storedOverhead = 120

func encodeRecord(record cyclamendyke.JournalRecord, at time.Time) (stored, error) {
	data, err := json.Marshal(record)
	if err == nil && len(data) > maxRecordBytes {
		data, err = json.Marshal(withoutOutput(record))
	}
	if err != nil {
		return stored{}, newError("encode", cyclamendyke.KindInvalid, err)
	}
	if len(data) > maxRecordBytes {
		return stored{}, newError("encode", cyclamendyke.KindTooLarge, nil)
	}
	return stored{
		Request: record.Job.Request,
		Final:   record.Outcome.Verdict != "" && record.Outcome.Verdict.IsFinal(),
		At:      at.UTC().Round(0),
		Record:  data,
	}, nil
}

// withoutOutput returns the record without what its tasks wrote.
func withoutOutput(record cyclamendyke.JournalRecord) cyclamendyke.JournalRecord {
	record.Done = stripOutput(record.Done)
	record.Outcome.Results = stripOutput(record.Outcome.Results)
	return record
}

func stripOutput(results []cyclamendyke.TaskResult) []cyclamendyke.TaskResult {
	stripped := make([]cyclamendyke.TaskResult, len(results))
	for i, result := range results {
		result.Output = ""
		stripped[i] = result
	}
	return stripped
}

func (s stored) decode() (cyclamendyke.JournalRecord, error) {
	var record cyclamendyke.JournalRecord
	if err := json.Unmarshal(s.Record, &record); err != nil {
		return record, newError("decode", cyclamendyke.KindInvalid, err)
	}
	return record, nil
}

// bytes returns about how much the record adds to a value.
func (s stored) bytes() int {
	return len(s.Record) + len(s.Request) + storedOverhead
}

func totalBytes(records []stored) int {
	total := 0
	for _, record := range records {
		total += record.bytes()
	}
	return total
}

func decodeHead(value []byte) (head, error) {
	var h head
	if len(value) == 0 {
		return h, nil
	}
	err := unpack(value, &h)
	return h, err
}

func (c Config) prefix() string {
	return cyclamendyke.JournalPrefix + string(c.Zone) + "/"
}

func (c Config) headKey() string {
	return c.prefix() + "head"
}

func segmentName(epoch cyclamendyke.Epoch, number uint64) string {
	return fmt.Sprintf("%d-%s-%06d", epoch.Term, epoch.Owner, number)
}
