package logline

import (
	"bytes"

	"github.com/go-logfmt/logfmt"
)

// decodeLogfmt decodes a line in logfmt. A key without a value is the beginning of a field that was
// cut off, since the logger writes none.
func decodeLogfmt(line []byte, into *fields, extent extent) result {
	decoder := logfmt.NewDecoderSize(bytes.NewReader(line), len(line)+1)
	isLogger, isCut := false, false
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), decoder.Value()
			isLogger = isLogger || key == "time" || key == "level" || key == "node"
			isCut = isCut || value == nil && !isEmptyValue(line, decoder.Key())
			if !into.setHead(key, value) || extent == allFields && !into.setRest(key, string(value)) {
				isCut = true
			}
		}
	}
	switch {
	case !isLogger:
		return resultOther
	case isCut, decoder.Err() != nil, !into.hasTime, into.message == nil:
		return resultTruncated
	}
	return resultRecord
}

// isEmptyValue reports whether the key has a value of no text, as in "key=".
func isEmptyValue(line, key []byte) bool {
	return bytes.Contains(line, append(bytes.Clone(key), '='))
}
