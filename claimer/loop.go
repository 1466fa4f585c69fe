package claimer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainTimeout limits how long Run continues after its context has ended.
const drainTimeout = 3 * time.Second

// Run processes operations until ctx ends. It then rejects new claims and drains pending operations for at most 3 s.
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
		c.startAndSchedule(hard, &group, t)
	}
	drain, end := context.WithTimeout(hard, drainTimeout)
	defer end()
	for drain.Err() == nil && c.Counters().Pending > 0 {
		select {
		case <-c.wake:
		case <-drain.Done():
			cancel()
		}
		c.startAndSchedule(hard, &group, t)
	}
	err := group.Wait()
	c.stop()
	return err
}

// startAndSchedule starts all due work and resets t to the next start time.
func (c *Claims) startAndSchedule(ctx context.Context, group *errgroup.Group, t *time.Timer) {
	if wait, ok := c.startDue(ctx, group); ok {
		t.Reset(wait)
	}
}

// startDue starts the due messages, transactions and reads, and returns the time until the next start.
func (c *Claims) startDue(ctx context.Context, group *errgroup.Group) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners, _ := c.role()
	var w shortestWait
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
	return w.duration, w.set
}

// shortestWait computes the minimum of several optional durations.
type shortestWait struct {
	duration time.Duration
	set      bool
}

// add includes d if ok is true.
func (w *shortestWait) add(d time.Duration, ok bool) {
	if ok && (!w.set || d < w.duration) {
		w.duration, w.set = d, true
	}
}

// startQueue starts the due sends of one queue. c.mu must be held.
func (c *Claims) startQueue(q *queue, send func([]*operation)) (time.Duration, bool) {
	for {
		now := c.config.Clock()
		wait, ok := q.wait(now)
		if !ok || wait > 0 {
			return wait, ok
		}
		list := c.dropExpired(q.take(now), now)
		if len(list) == 0 {
			q.inFlight--
			continue
		}
		send(list)
	}
}

// dropExpired discards expired operations and returns the others. c.mu must be held.
func (c *Claims) dropExpired(list []*operation, now time.Time) []*operation {
	var r []*operation
	for _, o := range list {
		switch {
		case now.Before(o.expiry):
			r = append(r, o)
		case o.kind == insert:
			c.abandonInsert(o)
		default:
			c.drop(o)
		}
	}
	return r
}

// close rejects new and queued inserts. Outcomes and abandoned claims are still written.
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
		c.abandonInsert(o)
	}
}

// stop discards the operations that are still queued when Run returns.
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

// signal wakes Run. One buffered signal suffices, because Run then checks all queues.
func (c *Claims) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
