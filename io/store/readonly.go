package store

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
)

var errReadOnly = errors.New("the store is opened for reading only")

// ReadOnly is a Store whose writes are refused with KindInvalid, for tools that only look.
type ReadOnly struct {
	cyclamendyke.Store
}

var _ cyclamendyke.Store = ReadOnly{}

// CompareAndSwap refuses the write.
func (ReadOnly) CompareAndSwap(context.Context, string, []byte, cyclamendyke.Revision, cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	return 0, refused("compare-and-swap")
}

// Delete refuses the write.
func (ReadOnly) Delete(context.Context, string, cyclamendyke.Revision) error {
	return refused("delete")
}

// GrantLease refuses the write.
func (ReadOnly) GrantLease(context.Context, time.Duration) (cyclamendyke.LeaseID, error) {
	return 0, refused("grant-lease")
}

// KeepAlive refuses the write.
func (ReadOnly) KeepAlive(context.Context, cyclamendyke.LeaseID) error {
	return refused("keep-alive")
}

// Revoke refuses the write.
func (ReadOnly) Revoke(context.Context, cyclamendyke.LeaseID) error {
	return refused("revoke")
}

func refused(op string) error {
	return &cyclamendyke.Error{Op: "store." + op, Kind: cyclamendyke.KindInvalid, Err: errReadOnly}
}
