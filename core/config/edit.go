package config

import (
	"context"
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Editor edits the tables in the store; the text is taken as validated.
type Editor struct {
	writer *cas.Writer
}

// NewEditor returns an editor that writes through writer.
func NewEditor(writer *cas.Writer) *Editor {
	return &Editor{writer: writer}
}

// Edit replaces the tables if their revision is still expected.
//
// It returns KindConflict with the revision in the store if another edit was
// first and this one was certainly not written, KindUnknown if this edit may
// have been in force and another one follows it or the store cannot be read,
// and KindUnavailable, KindLimited or KindTooLarge if nothing was written.
func (e *Editor) Edit(ctx context.Context, text cyclamendyke.TablesText, expected cyclamendyke.Revision) (cyclamendyke.Revision, error) {
	value, err := json.Marshal(text)
	if err != nil {
		return 0, newError("edit", cyclamendyke.KindInvalid, 0, err)
	}
	revision, err := e.writer.Swap(ctx, cyclamendyke.TablesKey, value, expected)
	if err == nil {
		return revision, nil
	}
	current, _ := e.writer.Get(ctx, cyclamendyke.TablesKey) // Zero if it cannot be read.
	return 0, newError("edit", cas.WriteKind(err), current.Revision, err)
}
