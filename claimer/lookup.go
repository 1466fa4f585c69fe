package claimer

import (
	"context"

	"celeryhead.dev/celeryhead/storer"
)

// lookupRows bounds one read; each row may hold an answer of 64 KiB.
const lookupRows = 64

// lookUp reads the rows of keys that came before, or that an owner may have written, and passes on the operations whose
// checks would hold.
func (c *Claims) lookUp(ctx context.Context, list []*operation) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var keys []string
	for _, o := range list {
		keys = append(keys, o.key)
	}
	rows, err := c.config.Store.Read(ctx, keys...)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	now := c.config.Clock()
	c.lookups.ended(now, err != nil)
	current := storer.ByKey(rows)
	for _, o := range list {
		o.inFlight = false
		// After a failed read the transaction itself finds the row.
		if err == nil && current[o.key].Version != o.version && !c.resolve(o, current[o.key], now) {
			continue
		}
		if o.givenUp {
			c.withdraw(o)
			continue
		}
		c.queue.add(o)
	}
}
