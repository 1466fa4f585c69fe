package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

// maxReplyBytes bounds the values of conflicting rows in one reply; beyond it they are left out, and the sender reads them.
const maxReplyBytes = 1 << 20

// ErrMessage says that a message of another instance is not valid.
var ErrMessage = merry.Sentinel("invalid claim message")

// delivery collects what is to be answered to one message; it is guarded by the lock of Claims.
type delivery struct {
	results []*messenger.ClaimResult
	// left counts the operations without a result, and room the bytes of values that may be added.
	left, room int
	done       chan struct{}
}

// Accept adds the writes of another instance to the transactions of this one and returns what the store said. It
// refuses them, and writes none, if this instance is no claim owner or has no room; ErrMessage is its error for a
// message over the limits or with a write that is none of a claim.
func (c *Claims) Accept(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	d := &delivery{left: len(m.Writes), room: maxReplyBytes, done: make(chan struct{})}
	list, err := c.operations(m, d)
	if err != nil {
		return nil, err
	}
	if !c.admit(list) {
		return &messenger.ClaimReply{Refused: true}, nil
	}
	select {
	case <-d.done:
		return &messenger.ClaimReply{Results: d.results}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operations decodes the writes of a message.
func (c *Claims) operations(m *messenger.ClaimRequest, d *delivery) ([]*operation, error) {
	if len(m.Writes) == 0 || len(m.Writes) > c.config.Rows {
		return nil, merry.Append(ErrMessage, "number of writes")
	}
	// The rest of the time is for the answer, so that the sender learns what was written and what was not.
	until := c.config.Clock().Add(c.config.OwnerTimeout * 3 / 4)
	var list []*operation
	n := 0
	for _, w := range m.Writes {
		o, err := accepted(w, until)
		if err != nil {
			return nil, err
		}
		if n += len(w.Value); n > c.config.Bytes && len(m.Writes) > 1 {
			return nil, merry.Append(ErrMessage, "size")
		}
		o.from, o.result = d, nil
		o.place = len(list)
		list = append(list, o)
		d.results = append(d.results, &messenger.ClaimResult{})
	}
	return list, nil
}

// accepted returns the operation of a write; the version that it replaces is the sender's, so that the store decides alone.
func accepted(w *messenger.ClaimWrite, until time.Time) (*operation, error) {
	r, err := decodeRow(w.Value)
	if err != nil || len(w.KeyDigest) != sha256.Size {
		return nil, merry.Append(ErrMessage, "write")
	}
	var k kind
	switch r.State {
	case claimed:
		k = insert
	case done:
		k = finish
	case abandoned:
		k = abandon
	}
	// The value is passed on as it came.
	return &operation{kind: k, key: claimPrefix + hex.EncodeToString(w.KeyDigest), row: r, value: w.Value, version: w.Version, until: until}, nil
}

// admit queues the operations of one message, all or none.
func (c *Claims) admit(list []*operation) bool {
	n := 0
	for _, o := range list {
		n += len(o.value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, member := c.role()
	full := c.accepted+len(list) > c.config.Accepted || c.acceptedBytes+n > c.config.AcceptedBytes
	if member || full || c.closed {
		c.counters.Refused += uint64(len(list))
		return false
	}
	c.accepted += len(list)
	c.acceptedBytes += n
	c.counters.Accepted += uint64(len(list))
	for _, o := range list {
		c.queueFor(o).add(o)
	}
	c.signal()
	return true
}

// reply ends an operation of another instance; c.mu is held.
func (c *Claims) reply(o *operation, s messenger.ClaimResult_State, r storer.Row) {
	c.accepted--
	c.acceptedBytes -= len(o.value)
	d := o.from
	x := d.results[o.place]
	x.State, x.Version = s, r.Version
	if s == messenger.ClaimResult_CONFLICT && len(r.Value) <= d.room {
		x.Value = r.Value
		d.room -= len(r.Value)
	}
	d.left--
	if d.left == 0 {
		close(d.done)
	}
}
