package store

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
)

var errReadOnly = errors.New("store is opened read-only")

// ReadOnly is a Store that refuses all writes with KindInvalid, for tools that must not write.
type ReadOnly struct {
	cyclamendyke.Store
}

var _ cyclamendyke.Store = ReadOnly{}

// CompareAndSwap returns KindInvalid.
func (ReadOnly) CompareAndSwap(context.Context, string, []byte, cyclamendyke.Revision, cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	return 0, readOnlyError("compare-and-swap")
}

// Delete returns KindInvalid.
func (ReadOnly) Delete(context.Context, string, cyclamendyke.Revision) error {
	return readOnlyError("delete")
}

// GrantLease returns KindInvalid.
func (ReadOnly) GrantLease(context.Context, time.Duration) (cyclamendyke.LeaseID, error) {
	return 0, readOnlyError("grant-lease")
}

// KeepAlive returns KindInvalid.
func (ReadOnly) KeepAlive(context.Context, cyclamendyke.LeaseID) error {
	return readOnlyError("keep-alive")
}

// Revoke returns KindInvalid.
func (ReadOnly) Revoke(context.Context, cyclamendyke.LeaseID) error {
	return readOnlyError("revoke")
}

func readOnlyError(op string) error {
	return &cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindInvalid, Err: errReadOnly}
}
