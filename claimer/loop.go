package claimer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainTime bounds how long Run goes on after its context has ended.
const drainTime = 3 * time.Second

// Run sends transactions until ctx ends, then refuses new claims and goes on for at most 3 s until nothing waits.
func (c *Claims) Run(ctx context.Context) error {
	hard, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	t := time.AfterFunc(0, c.signal)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-c.wake:
		case <-ctx.Done():
			c.close()
		}
		c.advance(hard, &group, t)
	}
	drain, end := context.WithTimeout(hard, drainTime)
	defer end()
	for drain.Err() == nil && c.Counters().Pending > 0 {
		select {
		case <-c.wake:
		case <-drain.Done():
			cancel()
		}
		c.advance(hard, &group, t)
	}
	err := group.Wait()
	c.stop()
	return err
}

// advance starts what is due and sets t to the time of the next start.
func (c *Claims) advance(ctx context.Context, group *errgroup.Group, t *time.Timer) {
	if wait, ok := c.start(ctx, group); ok {
		t.Reset(wait)
	}
}

// start begins the messages, transactions and reads that are due, and returns the time until the next one.
func (c *Claims) start(ctx context.Context, group *errgroup.Group) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners, _ := c.role()
	var w waits
	c.startOutboxes(ctx, group, owners, &w)
	w.add(c.startQueue(&c.queue, func(list []*operation) {
		c.counters.Transactions++
		t := c.transaction(list)
		group.Go(func() error {
			c.commit(ctx, list, t)
			return nil
		})
	}))
	w.add(c.startQueue(&c.lookups, func(list []*operation) {
		c.counters.Lookups++
		group.Go(func() error {
			c.lookUp(ctx, list)
			return nil
		})
	}))
	return w.first, w.any
}

// waits finds the shortest of some waits.
type waits struct {
	first time.Duration
	any   bool
}

// add counts a wait if ok.
func (w *waits) add(d time.Duration, ok bool) {
	if ok && (!w.any || d < w.first) {
		w.first, w.any = d, true
	}
}

// startQueue begins the sends of one queue that are due; c.mu is held.
func (c *Claims) startQueue(q *queue, send func([]*operation)) (time.Duration, bool) {
	for {
		now := c.config.Clock()
		wait, ok := q.wait(now)
		if !ok || wait > 0 {
			return wait, ok
		}
		list := c.live(q.take(now), now)
		if len(list) == 0 {
			q.inFlight--
			continue
		}
		send(list)
	}
}

// live ends the operations whose time is over and returns the others; c.mu is held.
func (c *Claims) live(list []*operation, now time.Time) []*operation {
	var r []*operation
	for _, o := range list {
		switch {
		case now.Before(o.until):
			r = append(r, o)
		case o.kind == insert:
			c.withdraw(o)
		default:
			c.drop(o)
		}
	}
	return r
}

// close refuses inserts from now on, and those that wait; outcomes and abandoned claims still go to the store.
func (c *Claims) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var list []*operation
	for q := range c.queues() {
		list = append(list, q.inserts...)
		q.inserts = nil
	}
	for _, o := range list {
		c.withdraw(o)
	}
}

// stop drops what the store has not taken when Run ends.
func (c *Claims) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for q := range c.queues() {
		for _, o := range q.clear() {
			c.drop(o)
		}
	}
}

// signal wakes Run, which then looks for work of all kinds, so that one pending signal is enough.
func (c *Claims) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
