package journal

import (
	"cyclamendyke"
)

// pending is the latest record of one job that is not in the store yet.
type pending struct {
	record  stored
	waiters []func(cyclamendyke.PersistResult)
}

// answer tells every waiter the result.
func (p *pending) answer(result cyclamendyke.PersistResult) {
	for _, waiter := range p.waiters {
		waiter(result)
	}
	p.waiters = nil
}

// queue holds the pending records in order of their first arrival, one a job.
type queue struct {
	order     []cyclamendyke.RequestID
	byRequest map[cyclamendyke.RequestID]*pending
}

func newQueue() queue {
	return queue{byRequest: map[cyclamendyke.RequestID]*pending{}}
}

// add puts a record in, over an earlier one of the same job.
func (q *queue) add(record stored, waiter func(cyclamendyke.PersistResult)) {
	p, found := q.byRequest[record.Request]
	if !found {
		p = &pending{}
		q.byRequest[record.Request] = p
		q.order = append(q.order, record.Request)
	}
	p.record = record
	if waiter != nil {
		p.waiters = append(p.waiters, waiter)
	}
}

// take removes and returns the next batch.
func (q *queue) take() []*pending {
	var batch []*pending
	size := 0
	for _, request := range q.order {
		next := q.byRequest[request]
		size += next.record.bytes()
		if len(batch) == maxBatchRecords || len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, next)
		delete(q.byRequest, request)
	}
	q.order = q.order[len(batch):]
	return batch
}

// putBack returns a record that was not written, unless a newer one of its job has arrived.
func (q *queue) putBack(p *pending) {
	if _, newer := q.byRequest[p.record.Request]; newer {
		return
	}
	q.byRequest[p.record.Request] = p
	q.order = append(q.order, p.record.Request)
}

func (q *queue) drain() []*pending {
	all := make([]*pending, 0, len(q.order))
	for _, request := range q.order {
		all = append(all, q.byRequest[request])
	}
	*q = newQueue()
	return all
}
