package claimer

import (
	"slices"
	"time"
)

// queue schedules transactions and selects their operations. It performs no I/O.
type queue struct {
	// interval is the minimum time between two starts.
	interval time.Duration
	// maxRows and maxBytes limit one transaction; maxInFlight limits the concurrent transactions.
	maxRows, maxBytes, maxInFlight int

	// retries holds the remaining operations of transactions in which another operation failed. Each batch is sent on its
	// own, because its checks succeeded recently and new operations could fail it again.
	retries [][]*operation
	// inserts have priority over settlements, because requests wait for them.
	inserts, settlements []*operation
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	inFlight  int
	// failures is the number of consecutive failed transactions.
	failures int
}

// maxBackoff limits the delay between transactions while the store fails.
const maxBackoff = 400 * time.Millisecond

// setInterval sets the interval. A shorter interval also shortens the current wait, except during a backoff.
func (q *queue) setInterval(d time.Duration, now time.Time) {
	if d < q.interval && q.failures == 0 {
		q.notBefore = earlier(q.notBefore, now.Add(d))
	}
	q.interval = d
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (q *queue) add(o *operation) {
	if o.kind == insert {
		q.inserts = append(q.inserts, o)
		return
	}
	q.settlements = append(q.settlements, o)
}

// prepend adds operations to the front of the queue, preserving their order.
func (q *queue) prepend(list []*operation) {
	var inserts, settlements []*operation
	for _, o := range list {
		if o.kind == insert {
			inserts = append(inserts, o)
			continue
		}
		settlements = append(settlements, o)
	}
	q.inserts = append(inserts, q.inserts...)
	q.settlements = append(settlements, q.settlements...)
}

func (q *queue) addRetry(list []*operation) {
	if len(list) > 0 {
		q.retries = append(q.retries, list)
	}
}

// remove deletes a queued operation.
func (q *queue) remove(o *operation) {
	same := func(p *operation) bool { return p == o }
	q.inserts = slices.DeleteFunc(q.inserts, same)
	q.settlements = slices.DeleteFunc(q.settlements, same)
	for i := range q.retries {
		q.retries[i] = slices.DeleteFunc(q.retries[i], same)
	}
	q.retries = slices.DeleteFunc(q.retries, func(l []*operation) bool { return len(l) == 0 })
}

// clear removes and returns all queued operations.
func (q *queue) clear() []*operation {
	list := slices.Concat(append(q.retries, q.inserts, q.settlements)...)
	q.inserts, q.settlements, q.retries = nil, nil, nil
	return list
}

func (q *queue) len() int {
	n := len(q.inserts) + len(q.settlements)
	for _, l := range q.retries {
		n += len(l)
	}
	return n
}

// wait returns the time until the next transaction may start. It returns false if nothing is queued or the limit of
// concurrent transactions is reached.
func (q *queue) wait(now time.Time) (time.Duration, bool) {
	if q.len() == 0 || q.inFlight >= q.maxInFlight {
		return 0, false
	}
	return max(0, q.notBefore.Sub(now)), true
}

// take starts a transaction and returns its operations. It must only be called after wait returned zero.
func (q *queue) take(now time.Time) []*operation {
	q.notBefore = now.Add(q.interval)
	q.inFlight++
	list := q.nextBatch()
	for _, o := range list {
		o.inFlight = true
	}
	return list
}

func (q *queue) nextBatch() []*operation {
	if len(q.retries) > 0 {
		l := q.retries[0]
		q.retries = q.retries[1:]
		return l
	}
	b := batch{keys: make(map[string]bool), maxRows: q.maxRows, bytesLeft: q.maxBytes}
	if len(q.settlements) > 0 {
		// A quarter of the rows is reserved for settlements.
		b.maxRows = max(1, q.maxRows*3/4)
	}
	q.inserts = b.fill(q.inserts)
	b.maxRows = q.maxRows
	q.settlements = b.fill(q.settlements)
	return b.list
}

// ended records the end of a transaction.
func (q *queue) ended(now time.Time, failed bool) {
	q.inFlight--
	if !failed {
		q.failures = 0
		return
	}
	q.failures++
	d := min(q.interval<<min(q.failures, 10), maxBackoff)
	if t := now.Add(d); t.After(q.notBefore) {
		q.notBefore = t
	}
}

// batch collects the operations of one transaction.
type batch struct {
	list               []*operation
	keys               map[string]bool
	maxRows, bytesLeft int
}

// fill moves operations into the batch and returns the rest. A transaction never contains two operations on the same key,
// because both checks would succeed and both would be reported as applied.
func (b *batch) fill(list []*operation) []*operation {
	var rest []*operation
	for i, o := range list {
		if len(b.list) >= b.maxRows {
			return append(rest, list[i:]...)
		}
		tooLarge := len(b.list) > 0 && len(o.value) > b.bytesLeft
		if tooLarge || b.keys[o.key] {
			rest = append(rest, o)
			continue
		}
		b.keys[o.key] = true
		b.bytesLeft -= len(o.value)
		b.list = append(b.list, o)
	}
	return rest
}
