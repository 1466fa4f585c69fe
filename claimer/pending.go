package claimer

import (
	"iter"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

// enqueue reports whether o was admitted.
func (c *Claims) enqueue(o *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put(o)
}

// put admits inserts up to the bound, and settlements up to twice the bound, because those free rows for resends; c.mu is held.
func (c *Claims) put(o *operation) bool {
	limit := c.config.Pending
	if o.kind != insert {
		limit *= 2
	}
	if c.pending >= limit || c.stopped || c.closed && o.kind == insert {
		c.countDrop(o)
		return false
	}
	c.pending++
	c.bytes += len(o.row.Body)
	c.queueFor(o).add(o)
	c.signal()
	return true
}

// queues yields all queues in which an operation may wait; c.mu is held.
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

// giveUp ends the wait for an insert; if it may have taken effect, its row is marked as abandoned.
func (c *Claims) giveUp(o *operation) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.decided {
		return (<-o.result).decision
	}
	o.givenUp = true
	if !o.inFlight {
		for q := range c.queues() {
			q.remove(o)
		}
		c.withdraw(o)
	}
	return Decision{Verdict: Unavailable}
}

// withdraw replaces an insert that nobody waits for by the abandoning of its row; c.mu is held.
func (c *Claims) withdraw(o *operation) {
	if o.from != nil {
		c.reply(o, messenger.ClaimResult_UNKNOWN, storer.Row{})
		return
	}
	c.decide(o, result{decision: Decision{Verdict: Unavailable}})
	if !o.uncertain {
		return
	}
	r := o.row
	r.State = abandoned
	c.put(newOperation(abandon, o.key, r, o.version, c.config.Clock().Add(settleTime)))
}

// drop ends an operation without effect; c.mu is held.
func (c *Claims) drop(o *operation) {
	if o.from != nil {
		c.reply(o, messenger.ClaimResult_UNKNOWN, storer.Row{})
		return
	}
	c.countDrop(o)
	c.decide(o, result{decision: Decision{Verdict: Unavailable}, err: merry.Wrap(ErrLost)})
}

// countDrop counts an outcome or an abandoned claim that is lost; c.mu is held.
func (c *Claims) countDrop(o *operation) {
	if o.kind != insert {
		c.counters.Dropped++
	}
}

// decide ends an operation and passes on its result; c.mu is held.
func (c *Claims) decide(o *operation, r result) {
	o.decided = true
	o.result <- r
	c.pending--
	c.bytes -= len(o.row.Body)
}
