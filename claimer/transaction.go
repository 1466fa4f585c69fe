package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

// commitTimeout is twice the timeout of storer.Client, for stores without a bound of their own.
const commitTimeout = 2 * time.Second

// transaction returns the conditional writes of list, with the expiry row by which the sweep finds them; c.mu is held.
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

// commit sends t, which holds the writes of list, and ends or repeats the operations.
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
		c.failed(list, err)
	case r.Committed:
		c.committed(list, r.Rows)
	default:
		c.conflicted(list, r.Rows)
	}
}

// withValues reads the rows of failed checks again if the store left out their values.
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

// committed ends the operations of a transaction that took effect; c.mu is held.
func (c *Claims) committed(list []*operation, rows []storer.Row) {
	written := storer.ByKey(rows)
	for _, o := range list {
		c.effective(o, written[o.key].Version)
	}
}

// conflicted resolves the operations whose checks failed and repeats the others; c.mu is held.
func (c *Claims) conflicted(list []*operation, rows []storer.Row) {
	c.counters.Conflicts++
	now := c.config.Clock()
	current := storer.ByKey(rows)
	var rest []*operation
	for _, o := range list {
		r, ok := current[o.key]
		if ok && !c.resolve(o, r, now) {
			continue
		}
		if o.givenUp {
			c.withdraw(o)
			continue
		}
		rest = append(rest, o)
	}
	c.queue.repeat(rest)
}

// failed repeats a transaction that has no effect or an unknown one; c.mu is held.
// The claim ids in the rows show later whether it had one.
func (c *Claims) failed(list []*operation, err error) {
	c.counters.Failures++
	if errors.Is(err, storer.ErrRejected) {
		c.rejected(list)
		return
	}
	var rest []*operation
	for _, o := range list {
		if !errors.Is(err, storer.ErrNotSent) {
			o.uncertain = true
		}
		if o.givenUp {
			c.withdraw(o)
			continue
		}
		rest = append(rest, o)
	}
	c.queue.addFirst(rest)
}

// rejected halves a transaction that the store refuses as malformed, so that one operation does not fail the others; c.mu is held.
func (c *Claims) rejected(list []*operation) {
	if len(list) > 1 {
		c.queue.repeat(list[:len(list)/2])
		c.queue.repeat(list[len(list)/2:])
		return
	}
	c.drop(list[0])
}

// resolve reports whether the operation has to be repeated; c.mu is held.
func (c *Claims) resolve(o *operation, r storer.Row, now time.Time) bool {
	if o.from != nil {
		c.reply(o, messenger.ClaimResult_CONFLICT, r)
		return false
	}
	f, d := judge(o, r, now)
	switch f {
	case effective:
		c.effective(o, r.Version)
		return false
	case refused:
		c.refuse(o, d)
		return false
	default:
		o.version = r.Version
		return true
	}
}

// effective ends an operation whose effect is in the store; c.mu is held.
func (c *Claims) effective(o *operation, version uint64) {
	if o.from != nil {
		c.reply(o, messenger.ClaimResult_WRITTEN, storer.Row{Version: version})
		return
	}
	if o.kind != insert {
		c.decide(o, result{})
		return
	}
	if o.givenUp {
		o.uncertain, o.version = true, version
		c.withdraw(o)
		return
	}
	l := &Claim{deadline: o.row.deadline(), key: o.key, row: o.row, version: version}
	c.decide(o, result{decision: Decision{Verdict: Run, Claim: l}})
}

// refuse ends an operation whose row belongs to another claim; c.mu is held.
func (c *Claims) refuse(o *operation, d Decision) {
	if o.kind == insert {
		c.decide(o, result{decision: d})
		return
	}
	c.drop(o)
}
