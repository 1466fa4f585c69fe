package claimer

import (
	"slices"
	"time"
)

// queue decides when a transaction starts and what it holds; it does no I/O.
type queue struct {
	// interval is the shortest time between two starts.
	interval time.Duration
	// rows and bytes bound one transaction, maxFlight the transactions that have started and not ended.
	rows, bytes, maxFlight int

	// repeats are the remainders of transactions in which another operation failed; each is
	// sent by itself, since its checks held a moment ago and new operations could fail it again.
	repeats [][]*operation
	// inserts go before other operations, because requests wait for them.
	inserts, others []*operation
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	inFlight  int
	// failures counts the transactions that failed since the last that did not.
	failures int
}

// maxBackoff bounds the pause between transactions while the store fails.
const maxBackoff = 400 * time.Millisecond

// setInterval replaces the interval; a shorter one also shortens the wait that has begun.
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
	q.others = append(q.others, o)
}

// addFirst returns operations to the front of the queue in their order.
func (q *queue) addFirst(list []*operation) {
	var inserts, others []*operation
	for _, o := range list {
		if o.kind == insert {
			inserts = append(inserts, o)
			continue
		}
		others = append(others, o)
	}
	q.inserts = append(inserts, q.inserts...)
	q.others = append(others, q.others...)
}

func (q *queue) repeat(list []*operation) {
	if len(list) > 0 {
		q.repeats = append(q.repeats, list)
	}
}

// remove takes out an operation that waits.
func (q *queue) remove(o *operation) {
	same := func(p *operation) bool { return p == o }
	q.inserts = slices.DeleteFunc(q.inserts, same)
	q.others = slices.DeleteFunc(q.others, same)
	for i := range q.repeats {
		q.repeats[i] = slices.DeleteFunc(q.repeats[i], same)
	}
	q.repeats = slices.DeleteFunc(q.repeats, func(l []*operation) bool { return len(l) == 0 })
}

// clear takes out all operations.
func (q *queue) clear() []*operation {
	list := slices.Concat(append(q.repeats, q.inserts, q.others)...)
	q.inserts, q.others, q.repeats = nil, nil, nil
	return list
}

func (q *queue) len() int {
	n := len(q.inserts) + len(q.others)
	for _, l := range q.repeats {
		n += len(l)
	}
	return n
}

// wait returns the time until the next transaction may start, or false if nothing is to be sent.
func (q *queue) wait(now time.Time) (time.Duration, bool) {
	if q.len() == 0 || q.inFlight >= q.maxFlight {
		return 0, false
	}
	return max(0, q.notBefore.Sub(now)), true
}

// take starts a transaction; wait must have returned zero.
func (q *queue) take(now time.Time) []*operation {
	q.notBefore = now.Add(q.interval)
	q.inFlight++
	list := q.choose()
	for _, o := range list {
		o.inFlight = true
	}
	return list
}

func (q *queue) choose() []*operation {
	if len(q.repeats) > 0 {
		l := q.repeats[0]
		q.repeats = q.repeats[1:]
		return l
	}
	b := batch{keys: make(map[string]bool), rows: q.rows, bytes: q.bytes}
	if len(q.others) > 0 {
		// A quarter of the rows stays free for outcomes and abandoned claims.
		b.rows = max(1, q.rows*3/4)
	}
	q.inserts = b.fill(q.inserts)
	b.rows = q.rows
	q.others = b.fill(q.others)
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
	list        []*operation
	keys        map[string]bool
	rows, bytes int
}

// fill moves operations into the batch and returns the rest; two operations on one key
// never share a transaction, since both checks would hold and both would count as effective.
func (b *batch) fill(list []*operation) []*operation {
	var rest []*operation
	for i, o := range list {
		if len(b.list) >= b.rows {
			return append(rest, list[i:]...)
		}
		tooLarge := len(b.list) > 0 && len(o.value) > b.bytes
		if tooLarge || b.keys[o.key] {
			rest = append(rest, o)
			continue
		}
		b.keys[o.key] = true
		b.bytes -= len(o.value)
		b.list = append(b.list, o)
	}
	return rest
}
