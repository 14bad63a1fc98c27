package proofs

import (
	"context"
	"time"

	"cyclamendyke"
)

// noResult is the result type of calls that return only an error.
type noResult struct{}

// faultyStore injects faults into the calls to a store.
type faultyStore struct {
	store  cyclamendyke.Store
	faults *FaultInjector
}

func (s faultyStore) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	return callWithFault(ctx, s.faults, "get", func(ctx context.Context) (cyclamendyke.Entry, error) { return s.store.Get(ctx, key) })
}

// listResult holds the results of List and Watch.
type listResult struct {
	entries  []cyclamendyke.Entry
	revision cyclamendyke.Revision
}

func (s faultyStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	result, err := callWithFault(ctx, s.faults, "list", func(ctx context.Context) (listResult, error) {
		entries, revision, err := s.store.List(ctx, prefix)
		return listResult{entries, revision}, err
	})
	return result.entries, result.revision, err
}

func (s faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	return callWithFault(ctx, s.faults, "compare-and-swap", func(ctx context.Context) (cyclamendyke.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, value, expected, lease)
	})
}

func (s faultyStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	return s.callNoResult(ctx, "delete", func(ctx context.Context) error { return s.store.Delete(ctx, key, expected) })
}

func (s faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	return callWithFault(ctx, s.faults, "grant-lease", func(ctx context.Context) (cyclamendyke.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s faultyStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.callNoResult(ctx, "keep-alive", func(ctx context.Context) error { return s.store.KeepAlive(ctx, lease) })
}

func (s faultyStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.callNoResult(ctx, "revoke", func(ctx context.Context) error { return s.store.Revoke(ctx, lease) })
}

func (s faultyStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	result, err := callWithFault(ctx, s.faults, "watch", func(ctx context.Context) (listResult, error) {
		entries, revision, err := s.store.Watch(ctx, prefix, after, hold)
		return listResult{entries, revision}, err
	})
	return result.entries, result.revision, err
}

func (s faultyStore) callNoResult(ctx context.Context, op string, call func(ctx context.Context) error) error {
	return callNoResult(ctx, s.faults, op, call)
}

func callNoResult(ctx context.Context, faults *FaultInjector, op string, call func(ctx context.Context) error) error {
	_, err := callWithFault(ctx, faults, op, func(ctx context.Context) (noResult, error) { return noResult{}, call(ctx) })
	return err
}

// faultyWorkers injects faults into the calls to workers.
type faultyWorkers struct {
	workers cyclamendyke.Workers
	faults  *FaultInjector
}

func (w faultyWorkers) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	return callWithFault(ctx, w.faults, "claim", func(ctx context.Context) (cyclamendyke.WorkerReport, error) {
		return w.workers.Claim(ctx, worker, claim)
	})
}

func (w faultyWorkers) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	return callWithFault(ctx, w.faults, "renew", func(ctx context.Context) (cyclamendyke.WorkerReport, error) {
		return w.workers.Renew(ctx, worker, claim)
	})
}

func (w faultyWorkers) Start(ctx context.Context, worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) error {
	return callNoResult(ctx, w.faults, "start", func(ctx context.Context) error { return w.workers.Start(ctx, worker, start) })
}

func (w faultyWorkers) Stop(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch, task cyclamendyke.TaskID, mode cyclamendyke.StopMode) error {
	return callNoResult(ctx, w.faults, "stop", func(ctx context.Context) error { return w.workers.Stop(ctx, worker, epoch, task, mode) })
}

func (w faultyWorkers) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	return callNoResult(ctx, w.faults, "release", func(ctx context.Context) error { return w.workers.Release(ctx, worker, epoch) })
}

// faultyVMLister injects faults into the calls to the VM list.
type faultyVMLister struct {
	lister cyclamendyke.VMLister
	faults *FaultInjector
}

func (v faultyVMLister) ListVMs(ctx context.Context, zone cyclamendyke.ZoneName) ([]cyclamendyke.VM, error) {
	return callWithFault(ctx, v.faults, "list-vms", func(ctx context.Context) ([]cyclamendyke.VM, error) { return v.lister.ListVMs(ctx, zone) })
}
