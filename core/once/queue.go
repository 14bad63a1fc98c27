package once

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// submit queues an operation and reports whether there was room; outcomes always find room.
func (r *Register) submit(op *operation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if op.action == actionReserve && (r.draining || r.count >= r.config.MaxPending) {
		return false
	}
	r.count++
	r.queue(op)
	return true
}

// queue puts an operation before its slot's writer; the caller holds the lock.
func (r *Register) queue(op *operation) {
	number := slotOf(op.key)
	r.pending[number] = append(r.pending[number], op)
	if !r.queued[number] {
		r.queued[number] = true
		r.ready <- number
	}
}

// abandon ends a reservation whose caller has gone: it is taken out if no writer has it yet, else given back once written.
func (r *Register) abandon(op *operation, cause error) answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case settled := <-op.answer:
		return settled
	default:
	}
	number := slotOf(op.key)
	if at := slices.Index(r.pending[number], op); at >= 0 {
		r.pending[number] = slices.Delete(r.pending[number], at, at+1)
		r.count--
		r.settleIdle()
		return answer{err: newError("reserve", cyclamendyke.KindUnavailable, cause)}
	}
	op.abandoned = true
	return answer{err: newError("reserve", cyclamendyke.KindUnknown, cause)}
}

// run writes slot after slot.
func (r *Register) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case number := <-r.ready:
			if r.limiter.Wait(ctx) != nil {
				return
			}
			r.write(ctx, number)
		}
	}
}

// write applies everything that waits for a slot in one update.
func (r *Register) write(ctx context.Context, number int) {
	r.mu.Lock()
	batch := r.pending[number]
	r.pending[number] = nil
	r.mu.Unlock()
	if len(batch) > 0 {
		r.update(ctx, number, batch)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending[number]) > 0 {
		r.ready <- number
		return
	}
	r.queued[number] = false
}

func (r *Register) update(ctx context.Context, number int, batch []*operation) {
	now := time.Now().UTC().Round(0)
	_, err := r.store.Update(ctx, slotKey(number), func(entry cyclamendyke.Entry) ([]byte, bool, error) {
		return applyAll(entry, batch, now)
	})
	r.settle(number, batch, err)
	if err != nil {
		r.pause(ctx)
	}
}

func applyAll(entry cyclamendyke.Entry, batch []*operation, now time.Time) (value []byte, changed bool, err error) {
	s, err := decodeSlot(entry.Value)
	if err != nil {
		return nil, false, err
	}
	s.prune(now)
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

// settle answers the reservations of a batch and queues again what must not be lost.
func (r *Register) settle(number int, batch []*operation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range batch {
		switch {
		case op.action == actionReserve:
			r.settleReserve(number, op, err)
		case err != nil:
			r.pending[number] = append(r.pending[number], op)
		default:
			r.count--
			if op.action == actionRelease {
				op.answer <- answer{}
			}
		}
	}
	r.settleIdle()
}

// settleReserve answers a reservation, and gives the key back if it may have been taken for nobody; the caller holds the lock.
func (r *Register) settleReserve(number int, op *operation, err error) {
	r.count--
	result := answer{reservation: op.reservation}
	doubt := false
	if err != nil {
		kind := reserveKind(err)
		doubt = kind == cyclamendyke.KindUnknown
		result = answer{err: newError("reserve", kind, err)}
	}
	if op.created && err == nil && !op.abandoned {
		r.tokens[op.key] = op.token
	}
	if op.created && (doubt || err == nil && op.abandoned) {
		r.count++
		r.pending[number] = append(r.pending[number], newRelease(op.key, op.token))
	}
	op.answer <- result
}

// reserveKind returns the kind of a failed reservation; a conflict that never ended certainly wrote nothing.
func reserveKind(err error) cyclamendyke.Kind {
	if errors.Is(err, cyclamendyke.KindConflict) {
		return cyclamendyke.KindUnavailable
	}
	return cas.WriteKind(err)
}

// settleIdle ends Close's wait when nothing is left; the caller holds the lock.
func (r *Register) settleIdle() {
	if !r.draining || r.count > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// failRest answers the reservations that never reached the store.
func (r *Register) failRest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, batch := range r.pending {
		for _, op := range batch {
			if op.action == actionReserve {
				op.answer <- answer{err: newError("reserve", cyclamendyke.KindUnavailable, nil)}
			}
		}
	}
}

func (r *Register) pause(ctx context.Context) {
	timer := time.NewTimer(r.config.Retry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
