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

// maxReplyBytes limits the total size of the conflicting row values in one reply. Values over the limit are omitted,
// and the sender reads those rows from the store.
const maxReplyBytes = 1 << 20

// ErrMessage reports an invalid claim message from another instance.
var ErrMessage = merry.Sentinel("invalid claim message")

// pendingReply collects the results for one received message. It is guarded by Claims.mu.
type pendingReply struct {
	results []*messenger.ClaimResult
	// remaining is the number of operations without a result; valueBudget is the number of value bytes that may still be added.
	remaining, valueBudget int
	done                   chan struct{}
}

// Accept adds the writes of another instance to the transactions of this one and returns the results from the store.
// If this instance is not a claim owner or has no capacity, it refuses the message and writes nothing. It returns
// ErrMessage if the message exceeds the limits or contains a write that is not a claim row.
func (c *Claims) Accept(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	d := &pendingReply{remaining: len(m.Writes), valueBudget: maxReplyBytes, done: make(chan struct{})}
	list, err := c.decodeMessage(m, d)
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

// decodeMessage converts the writes of a message to operations.
func (c *Claims) decodeMessage(m *messenger.ClaimRequest, d *pendingReply) ([]*operation, error) {
	if len(m.Writes) == 0 || len(m.Writes) > c.config.MaxRows {
		return nil, merry.Append(ErrMessage, "number of writes out of range")
	}
	// The remaining quarter of the timeout is left for the reply, so that the sender learns the result of each write.
	until := c.config.Clock().Add(c.config.OwnerTimeout * 3 / 4)
	var list []*operation
	n := 0
	for _, w := range m.Writes {
		o, err := decodeWrite(w, until)
		if err != nil {
			return nil, err
		}
		if n += len(w.Value); n > c.config.MaxBytes && len(m.Writes) > 1 {
			return nil, merry.Append(ErrMessage, "writes exceed the size limit")
		}
		o.reply, o.result = d, nil
		o.index = len(list)
		list = append(list, o)
		d.results = append(d.results, &messenger.ClaimResult{})
	}
	return list, nil
}

// decodeWrite converts a write to an operation. The operation keeps the row version that the sender expects, so that only
// the check in the store decides whether the write is applied.
func decodeWrite(w *messenger.ClaimWrite, until time.Time) (*operation, error) {
	r, err := decodeRow(w.Value)
	if err != nil || len(w.KeyDigest) != sha256.Size {
		return nil, merry.Append(ErrMessage, "write is not a claim row")
	}
	var k operationKind
	switch r.State {
	case claimed:
		k = insert
	case done:
		k = finish
	case abandoned:
		k = abandon
	}
	// The value is passed on unchanged.
	return &operation{kind: k, key: claimPrefix + hex.EncodeToString(w.KeyDigest), row: r, value: w.Value, version: w.Version, expiry: until}, nil
}

// admit enqueues either all operations of a message or none.
func (c *Claims) admit(list []*operation) bool {
	n := 0
	for _, o := range list {
		n += len(o.value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, member := c.role()
	full := c.accepted+len(list) > c.config.MaxAccepted || c.acceptedBytes+n > c.config.MaxAcceptedBytes
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

// addResult records the result of an operation received from another instance. c.mu must be held.
func (c *Claims) addResult(o *operation, s messenger.ClaimResult_State, r storer.Row) {
	c.accepted--
	c.acceptedBytes -= len(o.value)
	d := o.reply
	x := d.results[o.index]
	x.State, x.Version = s, r.Version
	if s == messenger.ClaimResult_CONFLICT && len(r.Value) <= d.valueBudget {
		x.Value = r.Value
		d.valueBudget -= len(r.Value)
	}
	d.remaining--
	if d.remaining == 0 {
		close(d.done)
	}
}
