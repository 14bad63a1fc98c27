package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"cyclamendyke"
)

// The forms of stored workflows.
const (
	maxPlainBytes   = 512 << 10 // A longer value is compressed, since the store takes none above a MiB; earlier versions read only plain ones.
	maxDecodedBytes = 64 << 20
)

// gzipMagic begins a compressed value, and no plain one.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeWorkflow returns the value under which a workflow is stored.
func encodeWorkflow(workflow *cyclamendyke.Workflow) ([]byte, error) {
	value, err := json.Marshal(workflow)
	if err != nil || len(value) <= maxPlainBytes {
		return value, err
	}
	var buffer bytes.Buffer
	compressed, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := compressed.Write(value); err != nil {
		return nil, err
	}
	err = compressed.Close()
	return buffer.Bytes(), err
}

// decodeWorkflow decodes a value that encodeWorkflow has returned.
func decodeWorkflow(value []byte, workflow *cyclamendyke.Workflow) error {
	if !bytes.HasPrefix(value, gzipMagic) {
		return json.Unmarshal(value, workflow)
	}
	compressed, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(compressed, maxDecodedBytes)).Decode(workflow)
}
