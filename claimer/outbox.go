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
	// fallbackInterval is the minimum time between two transactions, and between two reads, of an instance that sends its
	// claims to claim owners.
	fallbackInterval = time.Second
	// ownerRetryInterval is the time after which an unresponsive owner is retried with a single message. Inserts are sent to
	// it only after ownerInsertRetryInterval, because a caller that waits for this message and then for a transaction of
	// this instance would wait longer than 2 s.
	ownerRetryInterval, ownerInsertRetryInterval = time.Second, 5 * time.Second
	// maxOwnerCalls limits concurrent messages to one owner. Four connections to a peer stay open, but a limit of 4 delayed
	// 1 % of the claims by another half round trip (120 instances, 110 ms round trip).
	maxOwnerCalls = 8
)

// outbox holds the operations for one claim owner.
type outbox struct {
	queue
	// calls holds the messages in flight whose replies are still accepted.
	calls map[*call]bool
	// unresponsive is set while the last message to the owner is unanswered; unresponsiveSince is the time of that failure.
	unresponsive      bool
	unresponsiveSince time.Time
}

// call is one message in flight to an owner.
type call struct {
	owner  string
	list   []*operation
	cancel context.CancelFunc
}

// accepts reports whether o may be sent to the owner. An unresponsive owner gets only one message at a time.
func (b *outbox) accepts(o *operation, now time.Time) bool {
	if !b.unresponsive {
		return true
	}
	pause := ownerRetryInterval
	if o.kind == insert {
		pause = ownerInsertRetryInterval
	}
	return now.Sub(b.unresponsiveSince) >= pause && b.inFlight == 0 && b.len() == 0
}

// idle reports whether the outbox has no queued or in-flight operations and its start interval has passed.
func (b *outbox) idle(now time.Time) bool {
	return b.len() == 0 && b.inFlight == 0 && !now.Before(b.notBefore)
}

// queueFor returns the queue for a new operation. c.mu must be held.
func (c *Claims) queueFor(o *operation) *queue {
	owners, member := c.role()
	if !member {
		if o.kind == insert && o.version == 0 && c.recent.add(o.key) {
			return &c.lookups
		}
		return &c.queue
	}
	now := c.config.Clock()
	first := keyRange(digestOf(o.key))
	for i := range owners {
		// The next owners replace an unresponsive one. This is safe because the row decides, whichever instance writes it.
		if b := c.outbox(owners[(first+i)%len(owners)]); b.accepts(o, now) {
			return &b.queue
		}
	}
	c.counters.Fallbacks++
	return &c.lookups
}

// role returns the claim owners and whether this instance sends its operations to them. c.mu must be held.
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

// outbox returns the outbox of an owner, creating it if necessary. c.mu must be held.
func (c *Claims) outbox(owner string) *outbox {
	b, ok := c.outboxes[owner]
	if !ok {
		b = &outbox{
			queue: queue{interval: c.config.Interval, maxRows: c.config.MaxRows, maxBytes: c.config.MaxBytes, maxInFlight: maxOwnerCalls},
			calls: make(map[*call]bool),
		}
		c.outboxes[owner] = b
	}
	return b
}

// startOutboxes sends the due messages and removes the idle outboxes of former claim owners. c.mu must be held.
func (c *Claims) startOutboxes(ctx context.Context, group *errgroup.Group, owners []string, w *shortestWait) {
	for n, b := range c.outboxes {
		if b.idle(c.config.Clock()) && !slices.Contains(owners, n) {
			delete(c.outboxes, n)
			continue
		}
		w.add(c.startQueue(&b.queue, func(list []*operation) {
			m := &messenger.ClaimRequest{}
			for _, o := range list {
				// A refused message may also be delivered twice and accepted the second time.
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
	// Decoding cannot fail, because the key was created by claimKey.
	d, _ := hex.DecodeString(digestOf(o.key))
	return &messenger.ClaimWrite{KeyDigest: d, Version: o.version, Value: o.value}
}

// send sends operations to a claim owner. A result from the owner is equivalent to one from the store. A message without
// a reply may have been applied or may be applied later, like a transaction whose reply was lost.
func (c *Claims) send(ctx context.Context, b *outbox, k *call, m *messenger.ClaimRequest) {
	defer k.cancel()
	r, err := c.config.Fleet.Claim(ctx, k.owner, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	now := c.config.Clock()
	b.ended(now, false)
	if !b.calls[k] {
		// Another message to this owner failed, and the operations were moved to the queues of this instance.
		return
	}
	if err != nil || !r.Refused && len(r.Results) != len(k.list) {
		c.markUnresponsive(b, now)
		return
	}
	b.unresponsive = false
	k.detach(b)
	if r.Refused {
		c.counters.OwnerRefusals += uint64(len(k.list))
		c.fallBack(k.list)
		return
	}
	c.handleResults(k.list, r.Results, now)
}

// detach cancels a call and causes its reply to be ignored.
func (k *call) detach(b *outbox) {
	k.cancel()
	delete(b.calls, k)
	for _, o := range k.list {
		o.inFlight = false
	}
}

// markUnresponsive moves all operations of an owner that did not reply to the queues of this instance. They are moved
// together so that they share the one transaction allowed per second. c.mu must be held.
func (c *Claims) markUnresponsive(b *outbox, now time.Time) {
	b.unresponsive, b.unresponsiveSince = true, now
	list := b.clear()
	for k := range b.calls {
		k.detach(b)
		list = append(list, k.list...)
	}
	c.fallBack(list)
}

// handleResults completes or retries the operations in a reply of a claim owner. c.mu must be held.
func (c *Claims) handleResults(list []*operation, results []*messenger.ClaimResult, now time.Time) {
	for i, o := range list {
		x := results[i]
		switch {
		case x.State == messenger.ClaimResult_WRITTEN && x.Version != 0:
			c.onApplied(o, x.Version)
		case x.State == messenger.ClaimResult_CONFLICT && x.Version != o.version:
			c.handleConflict(o, storer.Row{Key: o.key, Version: x.Version, Value: x.Value}, now)
		default:
			c.fallBack([]*operation{o})
		}
	}
}

// handleConflict resolves an operation against the row found by its owner and sends it again if the write may still
// succeed. c.mu must be held.
func (c *Claims) handleConflict(o *operation, r storer.Row, now time.Time) {
	if r.Version != 0 && len(r.Value) == 0 {
		// The owner omitted the value because of the reply size limit.
		c.fallBack([]*operation{o})
		return
	}
	if !c.resolve(o, r, now) {
		return
	}
	if o.canceled {
		c.abandonInsert(o)
		return
	}
	c.queueFor(o).add(o)
}

// fallBack schedules operations to be written by this instance. Their rows are read first: the owner may have written
// them, and retrying the rest of a conflicting transaction would take another second. c.mu must be held.
func (c *Claims) fallBack(list []*operation) {
	for _, o := range list {
		if o.canceled {
			c.abandonInsert(o)
			continue
		}
		c.counters.Fallbacks++
		c.lookups.add(o)
	}
}
