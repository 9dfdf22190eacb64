package appender

import "lovagespread.example/logservice/platformapi"

// maxBatchBytes limits the size of the records of one append.
const maxBatchBytes = 4 << 20

// entry is a record that waits to be written.
type entry struct {
	data   []byte
	result chan result // capacity 1; nil if no caller waits for the result
}

type result struct {
	offset int64
	err    error
}

func (e *entry) complete(r result) {
	if e.result != nil {
		e.result <- r
	}
}

// queue holds the records of one kind in the order in which they are written.
type queue struct {
	entries []*entry
	bytes   int
	limits  Limits
}

func (q *queue) fits(size int) bool {
	return len(q.entries) < q.limits.Records && q.bytes+size <= q.limits.Bytes
}

func (q *queue) push(e *entry) {
	q.entries = append(q.entries, e)
	q.bytes += len(e.data)
}

// dropOldest removes the oldest records until a record of the given size fits.
func (q *queue) dropOldest(size int) (dropped int) {
	for len(q.entries) > 0 && !q.fits(size) {
		q.removeFirst(1)
		dropped++
	}
	return dropped
}

func (q *queue) removeFirst(n int) []*entry {
	batch := q.entries[:n:n]
	q.entries = q.entries[n:]
	for _, e := range batch {
		q.bytes -= len(e.data)
	}
	return batch
}

// nextBatch removes and returns the records for the next append.
func (q *queue) nextBatch() []*entry {
	n, size := 0, 0
	for n < len(q.entries) && n < platformapi.MaxBatchRecords {
		size += len(q.entries[n].data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	return q.removeFirst(n)
}

// requeue puts a batch back at the front of the queue.
func (q *queue) requeue(batch []*entry) {
	q.entries = append(batch[:len(batch):len(batch)], q.entries...)
	for _, e := range batch {
		q.bytes += len(e.data)
	}
}

// remove removes a record. It returns false if the record is no longer queued.
func (q *queue) remove(e *entry) bool {
	for i, other := range q.entries {
		if other == e {
			q.entries = append(q.entries[:i:i], q.entries[i+1:]...)
			q.bytes -= len(e.data)
			return true
		}
	}
	return false
}
