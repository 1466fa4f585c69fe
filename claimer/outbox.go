package claimer

import (
	"context"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

const (
	// fallbackInterval is the shortest time between two transactions, and between two reads, of an instance that has claim owners.
	fallbackInterval = time.Second
	// ownerPause is the time after which an owner that did not answer is asked again, with one message. Inserts are sent
	// to it only later, since a caller that waits for this message and then for a transaction of this instance would
	// wait for more than 2 s.
	ownerPause, ownerInsertPause = time.Second, 5 * time.Second
	// ownerCalls bounds the messages under way to one owner. Of the connections to a peer 4 stay open; with 4 calls, 1 % of
	// the claims waited for another half of a round trip at 120 instances and 110 ms.
	ownerCalls = 8
)

// outbox holds the operations for one claim owner.
type outbox struct {
	queue
	// calls are the messages under way whose answers count.
	calls map[*call]bool
	// silent says that the last message to the owner was not answered, and since when.
	silent bool
	since  time.Time
}

// call is one message to an owner.
type call struct {
	owner  string
	list   []*operation
	cancel context.CancelFunc
}

// accepts reports whether the owner may get operation o; a silent one is asked with one message at a time.
func (b *outbox) accepts(o *operation, now time.Time) bool {
	if !b.silent {
		return true
	}
	pause := ownerPause
	if o.kind == insert {
		pause = ownerInsertPause
	}
	return now.Sub(b.since) >= pause && b.inFlight == 0 && b.len() == 0
}

// idle reports whether nothing waits in the outbox or for its owner.
func (b *outbox) idle(now time.Time) bool {
	return b.len() == 0 && b.inFlight == 0 && !now.Before(b.notBefore)
}

// queueFor returns the queue for an operation that was not tried before; c.mu is held.
func (c *Claims) queueFor(o *operation) *queue {
	owners, member := c.role()
	if !member {
		if o.kind == insert && o.version == 0 && c.recent.add(o.key) {
			return &c.lookups
		}
		return &c.queue
	}
	now := c.config.Clock()
	first := rangeOf(digestOf(o.key))
	for i := range owners {
		// While the owner of the range is silent the next ones take its place, since the row decides whoever writes it.
		if b := c.outbox(owners[(first+i)%len(owners)]); b.accepts(o, now) {
			return &b.queue
		}
	}
	c.counters.Fallbacks++
	return &c.lookups
}

// role returns the claim owners, and whether this instance sends its operations to them; c.mu is held.
func (c *Claims) role() (owners []string, member bool) {
	owners = c.config.Fleet.ClaimOwners()
	member = len(owners) > 0 && !slices.Contains(owners, c.config.Self)
	interval := c.config.Interval
	if member {
		interval = max(interval, fallbackInterval)
	}
	now := c.config.Clock()
	c.queue.setInterval(interval, now)
	c.lookups.setInterval(interval, now)
	return owners, member
}

// outbox returns the outbox of an owner; c.mu is held.
func (c *Claims) outbox(owner string) *outbox {
	b, ok := c.outboxes[owner]
	if !ok {
		b = &outbox{
			queue: queue{interval: c.config.Interval, rows: c.config.Rows, bytes: c.config.Bytes, maxFlight: ownerCalls},
			calls: make(map[*call]bool),
		}
		c.outboxes[owner] = b
	}
	return b
}

// startOutboxes sends the messages that are due, and forgets instances that own no claims any more; c.mu is held.
func (c *Claims) startOutboxes(ctx context.Context, group *errgroup.Group, owners []string, w *waits) {
	for n, b := range c.outboxes {
		if b.idle(c.config.Clock()) && !slices.Contains(owners, n) {
			delete(c.outboxes, n)
			continue
		}
		w.add(c.startQueue(&b.queue, func(list []*operation) {
			m := &messenger.ClaimRequest{}
			for _, o := range list {
				// Also a refused message may come a second time and then be accepted.
				o.uncertain = true
				m.Writes = append(m.Writes, o.write())
			}
			c.counters.Sent += uint64(len(list))
			x, cancel := context.WithTimeout(ctx, c.config.OwnerTimeout)
			k := &call{owner: n, list: list, cancel: cancel}
			b.calls[k] = true
			group.Go(func() error {
				c.send(x, b, k, m)
				return nil
			})
		}))
	}
}

func digestOf(key string) string {
	return strings.TrimPrefix(key, claimPrefix)
}

func (o *operation) write() *messenger.ClaimWrite {
	// Keys are made by claimKey.
	d, _ := hex.DecodeString(digestOf(o.key))
	return &messenger.ClaimWrite{KeyDigest: d, Version: o.version, Value: o.value}
}

// send hands operations to an owner. What it answers counts as what the store would have answered; what it does not
// answer may have taken effect, or may do so later, like a transaction whose reply was lost.
func (c *Claims) send(ctx context.Context, b *outbox, k *call, m *messenger.ClaimRequest) {
	defer k.cancel()
	r, err := c.config.Fleet.Claim(ctx, k.owner, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	now := c.config.Clock()
	b.ended(now, false)
	if !b.calls[k] {
		// The operations went to transactions of this instance when another message was not answered.
		return
	}
	if err != nil || !r.Refused && len(r.Results) != len(k.list) {
		c.silence(b, now)
		return
	}
	b.silent = false
	k.end(b)
	if r.Refused {
		c.counters.OwnerRefusals += uint64(len(k.list))
		c.fallBack(k.list)
		return
	}
	c.receive(k.list, r.Results, now)
}

// end makes the answer of a call count no more.
func (k *call) end(b *outbox) {
	k.cancel()
	delete(b.calls, k)
	for _, o := range k.list {
		o.inFlight = false
	}
}

// silence has this instance write all that waits for an owner which did not answer. All of it goes at once, so that it
// shares the transaction of that second; c.mu is held.
func (c *Claims) silence(b *outbox, now time.Time) {
	b.silent, b.since = true, now
	list := b.clear()
	for k := range b.calls {
		k.end(b)
		list = append(list, k.list...)
	}
	c.fallBack(list)
}

// receive ends or repeats the operations that an owner answered; c.mu is held.
func (c *Claims) receive(list []*operation, results []*messenger.ClaimResult, now time.Time) {
	for i, o := range list {
		x := results[i]
		switch {
		case x.State == messenger.ClaimResult_WRITTEN && x.Version != 0:
			c.effective(o, x.Version)
		case x.State == messenger.ClaimResult_CONFLICT && x.Version != o.version:
			c.proceed(o, storer.Row{Key: o.key, Version: x.Version, Value: x.Value}, now)
		default:
			c.fallBack([]*operation{o})
		}
	}
}

// proceed judges an operation by the row that its owner found, and sends it again if its write may still hold; c.mu is held.
func (c *Claims) proceed(o *operation, r storer.Row, now time.Time) {
	if r.Version != 0 && len(r.Value) == 0 {
		// The owner left the value out.
		c.fallBack([]*operation{o})
		return
	}
	if !c.resolve(o, r, now) {
		return
	}
	if o.givenUp {
		c.withdraw(o)
		return
	}
	c.queueFor(o).add(o)
}

// fallBack has operations written by this instance. Their rows are read first, since the owner may have written them and
// another transaction that repeats the rest of a failed one would wait for a second; c.mu is held.
func (c *Claims) fallBack(list []*operation) {
	for _, o := range list {
		if o.givenUp {
			c.withdraw(o)
			continue
		}
		c.counters.Fallbacks++
		c.lookups.add(o)
	}
}
