package claimer

import "github.com/ansel1/merry/v2"

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
	q := &c.queue
	if o.kind == insert && c.recent.add(o.key) {
		q = &c.lookups
	}
	q.add(o)
	c.signal()
	return true
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
		c.queue.remove(o)
		c.lookups.remove(o)
		c.withdraw(o)
	}
	return Decision{Verdict: Unavailable}
}

// withdraw replaces an insert that nobody waits for by the abandoning of its row; c.mu is held.
func (c *Claims) withdraw(o *operation) {
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
