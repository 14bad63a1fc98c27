package journal

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"cyclamendyke"
)

// packer encodes values as DEFLATE-compressed JSON; it is not safe for concurrent use.
type packer struct {
	deflate *flate.Writer
}

func newPacker() (*packer, error) {
	deflate, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil, newError("pack", cyclamendyke.KindInvalid, err)
	}
	return &packer{deflate: deflate}, nil
}

// pack encodes a value, or returns KindInvalid.
func (p *packer) pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, newError("pack", cyclamendyke.KindInvalid, err)
	}
	var packed bytes.Buffer
	p.deflate.Reset(&packed)
	if _, err := p.deflate.Write(data); err != nil {
		return nil, newError("pack", cyclamendyke.KindInvalid, err)
	}
	if err := p.deflate.Close(); err != nil {
		return nil, newError("pack", cyclamendyke.KindInvalid, err)
	}
	return packed.Bytes(), nil
}

// unpack decodes the output of pack into value, or returns KindInvalid.
func unpack(packed []byte, value any) error {
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	if err != nil {
		return newError("unpack", cyclamendyke.KindInvalid, err)
	}
	return nil
}
