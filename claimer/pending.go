package claimer

import (
	"iter"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

// enqueue adds o to its queue and reports whether it was admitted.
func (c *Claims) enqueue(o *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enqueueLocked(o)
}

// enqueueLocked admits inserts up to the pending limit and settlements up to twice that limit, because settlements allow
// resends to proceed. c.mu must be held.
func (c *Claims) enqueueLocked(o *operation) bool {
	limit := c.config.MaxPending
	if o.kind != insert {
		limit *= 2
	}
	if c.pending >= limit || c.stopped || c.closed && o.kind == insert {
		c.countDropped(o)
		return false
	}
	c.pending++
	c.pendingBytes += len(o.row.Body)
	c.queueFor(o).add(o)
	c.signal()
	return true
}

// queues iterates over all queues. c.mu must be held.
func (c *Claims) queues() iter.Seq[*queue] {
	return func(yield func(*queue) bool) {
		if !yield(&c.queue) || !yield(&c.lookups) {
			return
		}
		for _, b := range c.outboxes {
			if !yield(&b.queue) {
				return
			}
		}
	}
}

// cancelInsert stops waiting for an insert. If the insert may have been applied, its row is marked as abandoned.
func (c *Claims) cancelInsert(o *operation) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.delivered {
		return (<-o.result).decision
	}
	o.canceled = true
	if !o.inFlight {
		for q := range c.queues() {
			q.remove(o)
		}
		c.abandonInsert(o)
	}
	return Decision{Verdict: Unavailable}
}

// abandonInsert completes an insert as Unavailable and, if it may have been applied, enqueues a write that marks its row
// as abandoned. c.mu must be held.
func (c *Claims) abandonInsert(o *operation) {
	if o.reply != nil {
		c.addResult(o, messenger.ClaimResult_UNKNOWN, storer.Row{})
		return
	}
	c.deliver(o, result{decision: Decision{Verdict: Unavailable}})
	if !o.uncertain {
		return
	}
	r := o.row
	r.State = abandoned
	c.enqueueLocked(newOperation(abandon, o.key, r, o.version, c.config.Clock().Add(settleTimeout)))
}

// drop completes an operation that was not applied. c.mu must be held.
func (c *Claims) drop(o *operation) {
	if o.reply != nil {
		c.addResult(o, messenger.ClaimResult_UNKNOWN, storer.Row{})
		return
	}
	c.countDropped(o)
	c.deliver(o, result{decision: Decision{Verdict: Unavailable}, err: merry.Wrap(ErrLost)})
}

// countDropped counts a lost outcome or abandoned claim. c.mu must be held.
func (c *Claims) countDropped(o *operation) {
	if o.kind != insert {
		c.counters.Dropped++
	}
}

// deliver completes an operation and sends its result. c.mu must be held.
func (c *Claims) deliver(o *operation, r result) {
	o.delivered = true
	o.result <- r
	c.pending--
	c.pendingBytes -= len(o.row.Body)
}
