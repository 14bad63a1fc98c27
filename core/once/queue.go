package once

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
	"cyclamendyke/core/retry"
)

// submit queues an operation. It returns false for a reservation if
// the queue is full or the registry is closed.
func (r *Registry) submit(op *operation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if op.action == actionReserve && (r.draining || r.pending >= r.config.MaxPending) {
		return false
	}
	r.pending++
	r.enqueue(op)
	return true
}

// enqueue queues an operation for its slot and schedules the slot; the caller holds the lock.
func (r *Registry) enqueue(op *operation) {
	slotIndex := slotIndexOf(op.hash)
	r.queued[slotIndex] = append(r.queued[slotIndex], op)
	if !r.scheduled[slotIndex] {
		r.scheduled[slotIndex] = true
		r.readySlots <- slotIndex
	}
}

// abandon ends a reservation whose caller stopped waiting.
// It removes a queued reservation; one that is being written is released afterwards.
func (r *Registry) abandon(op *operation, cause error) opResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case result := <-op.result:
		return result
	default:
	}
	slotIndex := slotIndexOf(op.hash)
	if index := slices.Index(r.queued[slotIndex], op); index >= 0 {
		r.queued[slotIndex] = slices.Delete(r.queued[slotIndex], index, index+1)
		r.pending--
		r.signalIfIdle()
		return opResult{err: newError("reserve", cyclamendyke.KindUnavailable, cause)}
	}
	op.abandoned = true
	return opResult{err: newError("reserve", cyclamendyke.KindUnknown, cause)}
}

// run updates scheduled slots until the context ends.
func (r *Registry) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case slotIndex := <-r.readySlots:
			if r.limiter.Wait(ctx) != nil {
				return
			}
			r.processSlot(ctx, slotIndex)
		}
	}
}

// processSlot applies a slot's queued operations in one update, and schedules
// the slot again if operations were queued in the meantime.
func (r *Registry) processSlot(ctx context.Context, slotIndex int) {
	r.mu.Lock()
	batch := r.queued[slotIndex]
	r.queued[slotIndex] = nil
	r.mu.Unlock()
	if len(batch) > 0 {
		r.updateSlot(ctx, slotIndex, batch)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queued[slotIndex]) > 0 {
		r.readySlots <- slotIndex
		return
	}
	r.scheduled[slotIndex] = false
}

// updateSlot applies a batch to the slot in the store and finishes the batch.
func (r *Registry) updateSlot(ctx context.Context, slotIndex int, batch []*operation) {
	now := time.Now().UTC().Round(0)
	_, err := r.store.Update(ctx, slotKey(slotIndex), func(entry cyclamendyke.Entry) ([]byte, bool, error) {
		return applyBatch(entry, batch, now)
	})
	r.finishBatch(slotIndex, batch, err)
	if err != nil {
		retry.Sleep(ctx, r.config.RetryInterval)
	}
}

// applyBatch returns the slot's new value and whether the batch changed it.
func applyBatch(entry cyclamendyke.Entry, batch []*operation, now time.Time) (value []byte, changed bool, err error) {
	s, err := decodeSlot(entry.Value)
	if err != nil {
		return nil, false, err
	}
	s.removeExpired(now)
	for _, op := range batch {
		if op.apply(&s, now) {
			changed = true
		}
	}
	if !changed {
		return nil, false, nil
	}
	value, err = json.Marshal(s)
	if err == nil && len(value) > maxSlotBytes {
		err = newError("write", cyclamendyke.KindTooLarge, nil)
	}
	return value, true, err
}

// finishBatch reports the results of a batch and requeues failed completions and releases.
func (r *Registry) finishBatch(slotIndex int, batch []*operation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range batch {
		switch {
		case op.action == actionReserve:
			r.finishReserve(slotIndex, op, err)
		case err != nil:
			r.queued[slotIndex] = append(r.queued[slotIndex], op)
		default:
			r.pending--
			if op.action == actionRelease {
				op.result <- opResult{}
			}
		}
	}
	r.signalIfIdle()
}

// finishReserve reports the result of a reservation; the caller holds the lock.
// If the record may have been created and the request will not run, it queues a release of the key.
func (r *Registry) finishReserve(slotIndex int, op *operation, err error) {
	r.pending--
	result := opResult{reservation: op.reservation}
	uncertain := false
	if err != nil {
		kind := reserveKind(err)
		uncertain = kind == cyclamendyke.KindUnknown
		result = opResult{err: newError("reserve", kind, err)}
	}
	if op.created && err == nil && !op.abandoned {
		r.heldTokens[op.hash] = op.token
	}
	if op.created && (uncertain || err == nil && op.abandoned) {
		r.pending++
		r.queued[slotIndex] = append(r.queued[slotIndex], newRelease(op.hash, op.token))
	}
	op.result <- result
}

// reserveKind returns the error kind of a failed reservation.
// If the update gave up after repeated conflicts, nothing was written.
func reserveKind(err error) cyclamendyke.Kind {
	if errors.Is(err, cyclamendyke.KindConflict) {
		return cyclamendyke.KindUnavailable
	}
	return cas.WriteKind(err)
}

// signalIfIdle wakes Close when no operation is left; the caller holds the lock.
func (r *Registry) signalIfIdle() {
	if !r.draining || r.pending > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// failQueued fails the reservations that are still queued after the writers have stopped.
func (r *Registry) failQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, batch := range r.queued {
		for _, op := range batch {
			if op.action == actionReserve {
				op.result <- opResult{err: newError("reserve", cyclamendyke.KindUnavailable, nil)}
			}
		}
	}
}
