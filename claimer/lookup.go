package claimer

import (
	"context"

	"celeryhead.dev/celeryhead/storer"
)

// lookupRows limits the rows per read, since each may contain a 64 KiB response.
const lookupRows = 64

// lookUp reads the rows of operations whose keys were seen recently or may have been written by a claim owner. Operations
// whose checks would succeed are passed on to the transaction queue.
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
		// If the read failed, the transaction detects a conflict itself.
		if err == nil && current[o.key].Version != o.version && !c.resolve(o, current[o.key], now) {
			continue
		}
		if o.canceled {
			c.abandonInsert(o)
			continue
		}
		c.queue.add(o)
	}
}
