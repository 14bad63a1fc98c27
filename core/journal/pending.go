package journal

import (
	"cyclamendyke"
)

// pendingRecord is the latest unwritten record of a job with the callbacks that await its result.
type pendingRecord struct {
	record  encodedRecord
	waiters []func(cyclamendyke.PersistResult)
}

// notifyWaiters calls every waiter with the result.
func (p *pendingRecord) notifyWaiters(result cyclamendyke.PersistResult) {
	for _, waiter := range p.waiters {
		waiter(result)
	}
	p.waiters = nil
}

// queue holds one pending record per job, in the order in which the jobs were added.
type queue struct {
	order     []cyclamendyke.RequestID
	byRequest map[cyclamendyke.RequestID]*pendingRecord
}

func newQueue() queue {
	return queue{byRequest: map[cyclamendyke.RequestID]*pendingRecord{}}
}

// add queues a record; it replaces a queued record of the same job and keeps its waiters.
func (q *queue) add(record encodedRecord, waiter func(cyclamendyke.PersistResult)) {
	p, found := q.byRequest[record.Request]
	if !found {
		p = &pendingRecord{}
		q.byRequest[record.Request] = p
		q.order = append(q.order, record.Request)
	}
	p.record = record
	if waiter != nil {
		p.waiters = append(p.waiters, waiter)
	}
}

// takeBatch removes and returns the next batch, limited in records and bytes.
func (q *queue) takeBatch() []*pendingRecord {
	var batch []*pendingRecord
	size := 0
	for _, request := range q.order {
		next := q.byRequest[request]
		size += next.record.size()
		if len(batch) == maxBatchRecords || len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, next)
		delete(q.byRequest, request)
	}
	q.order = q.order[len(batch):]
	return batch
}

// requeue appends a record that was not written, unless a newer one of the same job is queued.
func (q *queue) requeue(p *pendingRecord) {
	if _, newer := q.byRequest[p.record.Request]; newer {
		return
	}
	q.byRequest[p.record.Request] = p
	q.order = append(q.order, p.record.Request)
}

// drain removes and returns all records.
func (q *queue) drain() []*pendingRecord {
	all := make([]*pendingRecord, 0, len(q.order))
	for _, request := range q.order {
		all = append(all, q.byRequest[request])
	}
	*q = newQueue()
	return all
}
