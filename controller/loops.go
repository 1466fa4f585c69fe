package controller

import (
	"context"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
	"celeryhead.dev/celeryhead/tracker"
)

const (
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
	// ticksPerHeartbeat is how often due heartbeats are looked for within one heartbeat interval.
	ticksPerHeartbeat = 5
	// readsPerListAge keeps a list reading fresh although two in a row fail.
	readsPerListAge = 3
	// readersPerHeartbeat bounds the instances that read the heads row in each heartbeat interval of 500 ms: 1,000 reads a
	// second, half of what the store takes. More instances read in each second interval.
	readersPerHeartbeat = 500
)

// outage remembers whether a service answers, so that changes are logged once.
type outage struct {
	down  bool
	since time.Time
}

func (o *outage) note(err error, now time.Time, down func(error), up func(time.Duration)) {
	if (err != nil) == o.down {
		return
	}
	o.down = err != nil
	if o.down {
		o.since = now
		down(err)
		return
	}
	up(now.Sub(o.since))
}

// runTicks sends due heartbeats and lets time take effect on membership, proofs and ownership.
func (c *Controller) runTicks(ctx context.Context) {
	t := time.NewTicker(c.config.Timing.Heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
			c.tick(ctx, true)
		case <-t.C:
			c.tick(ctx, false)
		}
	}
}

func (c *Controller) tick(ctx context.Context, all bool) {
	now := c.config.Clock()
	c.mu.Lock()
	p := c.tracker.Tick(now)
	if all {
		p.Heartbeat = c.others()
	}
	c.publish(now)
	c.publishLive(now)
	c.mu.Unlock()
	for _, i := range p.Heartbeat {
		go c.beat(ctx, i)
	}
	c.reassign()
}

func (c *Controller) others() []tracker.Instance {
	var r []tracker.Instance
	for _, p := range c.tracker.Peers(c.config.Clock()) {
		r = append(r, p.Instance)
	}
	return r
}

// runStore reads the heads row.
func (c *Controller) runStore(ctx context.Context) {
	skipped := false
	timer.Poll(ctx, c.config.Timing.Heartbeat, func(ctx context.Context) {
		many := len(c.view.Load().Heads.Assignments[assigner.FleetScope].Members) > readersPerHeartbeat
		if skipped = many && !skipped; skipped {
			return
		}
		c.readStore(ctx)
	})
}

func (c *Controller) readStore(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, c.config.StoreTimeout)
	defer cancel()
	sent := c.config.Clock()
	rs, err := c.config.Store.Read(x, recorder.HeadsKey)
	if ctx.Err() != nil {
		return
	}
	now := c.config.Clock()
	c.mu.Lock()
	c.store.note(err, now, c.config.Log.StoreDown, c.config.Log.StoreUp)
	c.mu.Unlock()
	if err != nil {
		return
	}
	var r storer.Row
	if len(rs) > 0 {
		r = rs[0]
	}
	if err := c.adopt(ctx, r, origin{name: "store"}); err != nil {
		c.config.Log.FetchFailed("store", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeRead = now
	c.blank = r.Version == 0
	c.attester.RecordRead(sent, r.Version)
	c.publish(c.config.Clock())
}

// runList reads the platform's list.
func (c *Controller) runList(ctx context.Context) {
	timer.Poll(ctx, c.config.Timing.ListAge/readsPerListAge, c.readList)
}

func (c *Controller) readList(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, c.config.Timing.ListAge/readsPerListAge)
	defer cancel()
	sent := c.config.Clock()
	l, err := c.config.List.List(x)
	if ctx.Err() != nil {
		return
	}
	now := c.config.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.note(err, now, c.config.Log.ListDown, c.config.Log.ListUp)
	if err != nil {
		return
	}
	c.tracker.ObserveList(sent, now, l)
	c.publish(now)
	c.publishLive(now)
}

// StoreReachable reports whether the last read of the store succeeded.
func (c *Controller) StoreReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.store.down
}

// standing is what an author of a change knows about its peers; c.mu is held.
func (c *Controller) standing(now time.Time) attester.Standing {
	return attester.Standing{Acts: c.tracker.Acts(now), Departures: c.tracker.Departures()}
}
