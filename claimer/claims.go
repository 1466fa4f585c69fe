package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// settleTime bounds how long outcomes and abandoned claims wait in memory for the store.
	settleTime = 10 * time.Minute
	// inProgressRetry and unavailableRetry are the longest and the usual advice to callers.
	inProgressRetry  = time.Second
	unavailableRetry = time.Second
)

// Errors of Finish and Abandon.
var (
	// ErrPending says that the write has not been confirmed yet; it goes on in the background.
	ErrPending = merry.Sentinel("claim write not confirmed yet")
	// ErrLost says that the row no longer belongs to the claim, or that the write was dropped.
	ErrLost = merry.Sentinel("claim write lost")
	// ErrSettled says that the claim was finished or abandoned before.
	ErrSettled = merry.Sentinel("claim settled before")
)

// Claim is the right of one sending to run; it is settled once, by Finish or Abandon.
type Claim struct {
	deadline time.Time
	key      string
	row      row
	version  uint64
	settled  atomic.Bool
}

// Deadline returns the time at and after which the request must not be started; it is checked just before the effect.
func (c *Claim) Deadline() time.Time {
	return c.deadline
}

// Claims makes and settles claims; its methods may be called concurrently.
type Claims struct {
	config Config
	// id and serial name the expiry rows.
	id string
	// wake has room for one signal.
	wake chan struct{}

	mu sync.Mutex
	// queue holds what waits for a transaction.
	queue queue
	// lookups holds the inserts whose keys came to this instance before: a resend would fail
	// the transaction of others, so its row is read first, for which the store has more room.
	lookups queue
	// outboxes hold what waits for the claim owners of their names.
	outboxes map[string]*outbox
	recent   *recent
	serial   uint64
	counters Counters
	// pending and bytes count the operations that are not decided, and the bodies of their rows.
	pending, bytes int
	// accepted and acceptedBytes count the operations of other instances and the bytes of their values.
	accepted, acceptedBytes int
	// closed refuses inserts, stopped everything.
	closed, stopped bool
}

// New returns Claims that make progress while Run runs.
func New(c Config) *Claims {
	c = c.withDefaults()
	return &Claims{
		config:   c,
		id:       newID(),
		wake:     make(chan struct{}, 1),
		queue:    queue{interval: c.Interval, rows: c.Rows, bytes: c.Bytes, maxFlight: c.InFlight},
		lookups:  queue{interval: c.Interval, rows: lookupRows, bytes: c.Bytes, maxFlight: c.InFlight},
		outboxes: make(map[string]*outbox),
		recent:   newRecent(),
	}
}

// Counters returns the totals so far.
func (c *Claims) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.counters
	r.Pending = c.pending
	return r
}

// Begin claims the right to run r. Its error is ErrRequest for an incomplete request; every other
// failure is the verdict Unavailable, after which this sending never runs.
func (c *Claims) Begin(ctx context.Context, r Request) (Decision, error) {
	if err := r.check(); err != nil {
		return Decision{}, err
	}
	now := c.config.Clock()
	left := min(r.Deadline.Sub(now), c.config.BeginTimeout)
	if left <= 0 {
		return c.unavailable(), nil
	}
	o := newOperation(insert, claimKey(r.Account, r.Route, r.Key), newRow(r), 0, now.Add(left))
	if !c.enqueue(o) {
		return c.unavailable(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var d Decision
	select {
	case x := <-o.result:
		d = x.decision
	case <-ctx.Done():
		d = c.giveUp(o)
	}
	return c.checkTime(d), nil
}

// checkTime withdraws a claim that arrived too late to be used, for example after a pause of the process.
func (c *Claims) checkTime(d Decision) Decision {
	if d.Verdict == Unavailable {
		return c.unavailable()
	}
	if d.Verdict != Run {
		return d
	}
	if c.config.Clock().Before(d.Claim.deadline) {
		return d
	}
	// If this is not admitted the row stays claimed, which says less than is known but nothing false.
	_, _ = c.settle(d.Claim, abandon, d.Claim.row)
	return c.unavailable()
}

func (c *Claims) unavailable() Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Unavailable++
	return Decision{Verdict: Unavailable, RetryAfter: unavailableRetry}
}

// Finish stores the outcome of a claim whose request ran. It returns when the store has it; if ctx
// ends before, the error is ErrPending and the write goes on for up to 10 min.
func (c *Claims) Finish(ctx context.Context, l *Claim, o Outcome) error {
	c.mu.Lock()
	whole := c.bytes+len(o.Body) <= c.config.PendingBytes
	c.mu.Unlock()
	return c.settleAndWait(ctx, l, finish, l.row.finished(o, whole))
}

// Abandon withdraws a claim whose request certainly did not run and never will, so that a resend can
// run; it never deletes the row, since an insert of the same claim may be applied late. It returns when
// the store has it; if ctx ends before, the error is ErrPending and the write goes on for up to 10 min.
func (c *Claims) Abandon(ctx context.Context, l *Claim) error {
	return c.settleAndWait(ctx, l, abandon, l.row)
}

func (c *Claims) settleAndWait(ctx context.Context, l *Claim, k kind, r row) error {
	o, err := c.settle(l, k, r)
	if err != nil {
		return err
	}
	select {
	case x := <-o.result:
		return x.err
	case <-ctx.Done():
		return merry.Wrap(ErrPending, merry.WithCause(ctx.Err()))
	}
}

// settle queues the write that ends claim l; only the first call for a claim is accepted.
func (c *Claims) settle(l *Claim, k kind, r row) (*operation, error) {
	if l.settled.Swap(true) {
		return nil, merry.Wrap(ErrSettled)
	}
	if k == abandon {
		r.State = abandoned
	}
	o := newOperation(k, l.key, r, l.version, c.config.Clock().Add(settleTime))
	if !c.enqueue(o) {
		return nil, merry.Wrap(ErrLost)
	}
	return o, nil
}
