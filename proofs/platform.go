package proofs

import (
	"context"
	"time"

	"cyclamendyke"
)

// empty is the answer of calls that give none.
type empty struct{}

// gatedStore is a store behind a gate.
type gatedStore struct {
	store cyclamendyke.Store
	gate  *Gate
}

func (s gatedStore) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	return pass(ctx, s.gate, "get", func(ctx context.Context) (cyclamendyke.Entry, error) { return s.store.Get(ctx, key) })
}

// listing is the answer of List and Watch.
type listing struct {
	entries  []cyclamendyke.Entry
	revision cyclamendyke.Revision
}

func (s gatedStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	answer, err := pass(ctx, s.gate, "list", func(ctx context.Context) (listing, error) {
		entries, revision, err := s.store.List(ctx, prefix)
		return listing{entries, revision}, err
	})
	return answer.entries, answer.revision, err
}

func (s gatedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	return pass(ctx, s.gate, "compare-and-swap", func(ctx context.Context) (cyclamendyke.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, value, expected, lease)
	})
}

func (s gatedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	return s.effect(ctx, "delete", func(ctx context.Context) error { return s.store.Delete(ctx, key, expected) })
}

func (s gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	return pass(ctx, s.gate, "grant-lease", func(ctx context.Context) (cyclamendyke.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s gatedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.effect(ctx, "keep-alive", func(ctx context.Context) error { return s.store.KeepAlive(ctx, lease) })
}

func (s gatedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	return s.effect(ctx, "revoke", func(ctx context.Context) error { return s.store.Revoke(ctx, lease) })
}

func (s gatedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	answer, err := pass(ctx, s.gate, "watch", func(ctx context.Context) (listing, error) {
		entries, revision, err := s.store.Watch(ctx, prefix, after, hold)
		return listing{entries, revision}, err
	})
	return answer.entries, answer.revision, err
}

func (s gatedStore) effect(ctx context.Context, op string, call func(ctx context.Context) error) error {
	return effect(ctx, s.gate, op, call)
}

func effect(ctx context.Context, gate *Gate, op string, call func(ctx context.Context) error) error {
	_, err := pass(ctx, gate, op, func(ctx context.Context) (empty, error) { return empty{}, call(ctx) })
	return err
}

// gatedWorkers are workers behind a gate.
type gatedWorkers struct {
	workers cyclamendyke.Workers
	gate    *Gate
}

func (w gatedWorkers) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	return pass(ctx, w.gate, "claim", func(ctx context.Context) (cyclamendyke.WorkerReport, error) {
		return w.workers.Claim(ctx, worker, claim)
	})
}

func (w gatedWorkers) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	return pass(ctx, w.gate, "renew", func(ctx context.Context) (cyclamendyke.WorkerReport, error) {
		return w.workers.Renew(ctx, worker, claim)
	})
}

func (w gatedWorkers) Start(ctx context.Context, worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) error {
	return effect(ctx, w.gate, "start", func(ctx context.Context) error { return w.workers.Start(ctx, worker, start) })
}

func (w gatedWorkers) Stop(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch, task cyclamendyke.TaskID, mode cyclamendyke.StopMode) error {
	return effect(ctx, w.gate, "stop", func(ctx context.Context) error { return w.workers.Stop(ctx, worker, epoch, task, mode) })
}

func (w gatedWorkers) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	return effect(ctx, w.gate, "release", func(ctx context.Context) error { return w.workers.Release(ctx, worker, epoch) })
}

// gatedVMs is the list of VMs behind a gate.
type gatedVMs struct {
	lister cyclamendyke.VMLister
	gate   *Gate
}

func (v gatedVMs) ListVMs(ctx context.Context, zone cyclamendyke.ZoneName) ([]cyclamendyke.VM, error) {
	return pass(ctx, v.gate, "list-vms", func(ctx context.Context) ([]cyclamendyke.VM, error) { return v.lister.ListVMs(ctx, zone) })
}
