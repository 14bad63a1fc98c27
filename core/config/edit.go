package config

import (
	"context"
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Editor replaces the tables in the store; its callers validate the text first.
type Editor struct {
	writer *cas.Writer
}

// NewEditor returns an editor that writes through writer.
func NewEditor(writer *cas.Writer) *Editor {
	return &Editor{writer: writer}
}

// Edit replaces the tables if their revision in the store is still expected.
//
// On failure, Error.Current is the revision in the store, or zero if it was not read. The kind is one of:
//   - KindConflict: another edit came first, and this one was certainly not written.
//   - KindUnknown: another edit may have replaced this one, or the store cannot be read.
//   - KindUnavailable, KindLimited or KindTooLarge: nothing was written.
func (e *Editor) Edit(ctx context.Context, text cyclamendyke.TablesText, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	value, err := json.Marshal(text)
	if err != nil {
		return 0, newError("edit", cyclamendyke.KindInvalid, 0, err)
	}
	revision, err := e.writer.Swap(ctx, cyclamendyke.TablesKey, value, expected)
	if err == nil {
		return revision, nil
	}
	current, _ := e.writer.Get(ctx, cyclamendyke.TablesKey) // The revision is zero if the read fails.
	return 0, newError("edit", cas.WriteKind(err), current.Revision, err)
}
