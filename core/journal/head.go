package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"cyclamendyke"
)

// head is the value of the head key, which every commit rewrites.
type head struct {
	Epoch    cyclamendyke.Epoch `json:"epoch"`    // Lower epochs can no longer write.
	Commit   uint64             `json:"commit"`   // Unique for each write attempt, so that reading the head back identifies the write.
	Segments []string           `json:"segments"` // Oldest first; segments not listed here are ignored.
	Records  []encodedRecord    `json:"records"`  // Newer than the records in the segments.
}

// segment is the value of a segment key, which is written once.
type segment struct {
	Records []encodedRecord `json:"records"`
}

// encodedRecord is a journal record as it is stored; a later one of the same request replaces it.
type encodedRecord struct {
	Request cyclamendyke.RequestID `json:"request"`
	Final   bool                   `json:"final,omitempty"`
	At      time.Time              `json:"at"` // When the journal received the record.
	Record  json.RawMessage        `json:"record"`
}

// recordOverheadBytes is the estimated size of the JSON around a record and its request.
const recordOverheadBytes = 120

func encodeRecord(record cyclamendyke.JournalRecord, receivedAt time.Time) (encodedRecord, error) {
	data, err := json.Marshal(record)
	if err == nil && len(data) > maxRecordBytes {
		data, err = json.Marshal(withoutOutput(record))
	}
	if err != nil {
		return encodedRecord{}, newError("encode", cyclamendyke.KindInvalid, err)
	}
	if len(data) > maxRecordBytes {
		return encodedRecord{}, newError("encode", cyclamendyke.KindTooLarge, nil)
	}
	return encodedRecord{
		Request: record.Job.Request,
		Final:   record.Outcome.Verdict != "" && record.Outcome.Verdict.IsFinal(),
		At:      receivedAt.UTC().Round(0),
		Record:  data,
	}, nil
}

// withoutOutput returns the record without its tasks' output.
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

func (r encodedRecord) decode() (cyclamendyke.JournalRecord, error) {
	var record cyclamendyke.JournalRecord
	if err := json.Unmarshal(r.Record, &record); err != nil {
		return record, newError("decode", cyclamendyke.KindInvalid, err)
	}
	return record, nil
}

// size returns the approximate number of bytes that the record adds to a head or segment.
func (r encodedRecord) size() int {
	return len(r.Record) + len(r.Request) + recordOverheadBytes
}

func totalSize(records []encodedRecord) int {
	total := 0
	for _, record := range records {
		total += record.size()
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
