package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

// commitTimeout is twice the timeout of storer.Client and applies to stores without a timeout of their own.
const commitTimeout = 2 * time.Second

// transaction returns the conditional writes of list and the expiry row that the sweeper uses to find them. c.mu must be held.
func (c *Claims) transaction(list []*operation) storer.Txn {
	c.serial++
	var t storer.Txn
	var x expiryRow
	for _, o := range list {
		t.Checks = append(t.Checks, storer.Check{Key: o.key, Version: o.version})
		t.Writes = append(t.Writes, storer.Write{Key: o.key, Value: o.value})
		if o.kind != finish {
			x.add(o.key, o.row.expires())
		}
	}
	if len(x.Keys) > 0 {
		t.Writes = append(t.Writes, storer.Write{Key: x.key(fmt.Sprintf("%s-%d", c.id, c.serial)), Value: x.encode()})
	}
	return t
}

// commit commits t, which contains the writes of list, and completes or retries the operations.
func (c *Claims) commit(ctx context.Context, list []*operation, t storer.Txn) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r, err := c.config.Store.Commit(ctx, t)
	if err == nil && !r.Committed {
		r.Rows, err = c.withValues(ctx, r.Rows)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	for _, o := range list {
		o.inFlight = false
	}
	c.queue.ended(c.config.Clock(), err != nil)
	switch {
	case err != nil:
		c.onFailure(list, err)
	case r.Committed:
		c.onCommitted(list, r.Rows)
	default:
		c.onConflict(list, r.Rows)
	}
}

// withValues reads the rows of failed checks if the store omitted their values.
func (c *Claims) withValues(ctx context.Context, rows []storer.Row) ([]storer.Row, error) {
	var keys []string
	for _, r := range rows {
		if r.Version != 0 && len(r.Value) == 0 {
			keys = append(keys, r.Key)
		}
	}
	if len(keys) == 0 {
		return rows, nil
	}
	full, err := c.config.Store.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Version == 0 {
			full = append(full, r)
		}
	}
	return full, nil
}

// onCommitted completes the operations of a committed transaction. c.mu must be held.
func (c *Claims) onCommitted(list []*operation, rows []storer.Row) {
	written := storer.ByKey(rows)
	for _, o := range list {
		c.onApplied(o, written[o.key].Version)
	}
}

// onConflict resolves the operations whose checks failed and retries the others. c.mu must be held.
func (c *Claims) onConflict(list []*operation, rows []storer.Row) {
	c.counters.Conflicts++
	now := c.config.Clock()
	current := storer.ByKey(rows)
	var rest []*operation
	for _, o := range list {
		r, ok := current[o.key]
		if ok && !c.resolve(o, r, now) {
			continue
		}
		if o.canceled {
			c.abandonInsert(o)
			continue
		}
		rest = append(rest, o)
	}
	c.queue.addRetry(rest)
}

// onFailure retries the operations of a transaction with no effect or an unknown one. The claim IDs in the rows later show
// whether it was applied. c.mu must be held.
func (c *Claims) onFailure(list []*operation, err error) {
	c.counters.Failures++
	if errors.Is(err, storer.ErrRejected) {
		c.onRejected(list)
		return
	}
	var rest []*operation
	for _, o := range list {
		if !errors.Is(err, storer.ErrNotSent) {
			o.uncertain = true
		}
		if o.canceled {
			c.abandonInsert(o)
			continue
		}
		rest = append(rest, o)
	}
	c.queue.prepend(rest)
}

// onRejected splits a transaction that the store rejected as malformed, so that one invalid operation does not fail the
// others. c.mu must be held.
func (c *Claims) onRejected(list []*operation) {
	if len(list) > 1 {
		c.queue.addRetry(list[:len(list)/2])
		c.queue.addRetry(list[len(list)/2:])
		return
	}
	c.drop(list[0])
}

// resolve processes the current row after a failed check and reports whether the operation must be retried. c.mu must be held.
func (c *Claims) resolve(o *operation, r storer.Row, now time.Time) bool {
	if o.reply != nil {
		c.addResult(o, messenger.ClaimResult_CONFLICT, r)
		return false
	}
	f, d := resolveConflict(o, r, now)
	switch f {
	case applied:
		c.onApplied(o, r.Version)
		return false
	case superseded:
		c.onSuperseded(o, d)
		return false
	default:
		o.version = r.Version
		return true
	}
}

// onApplied completes an operation whose effect is stored. c.mu must be held.
func (c *Claims) onApplied(o *operation, version uint64) {
	if o.reply != nil {
		c.addResult(o, messenger.ClaimResult_WRITTEN, storer.Row{Version: version})
		return
	}
	if o.kind != insert {
		c.deliver(o, result{})
		return
	}
	if o.canceled {
		o.uncertain, o.version = true, version
		c.abandonInsert(o)
		return
	}
	l := &Claim{deadline: o.row.deadline(), key: o.key, row: o.row, version: version}
	c.deliver(o, result{decision: Decision{Verdict: Run, Claim: l}})
}

// onSuperseded completes an operation whose row belongs to another claim. c.mu must be held.
func (c *Claims) onSuperseded(o *operation, d Decision) {
	if o.kind == insert {
		c.deliver(o, result{decision: d})
		return
	}
	c.drop(o)
}
