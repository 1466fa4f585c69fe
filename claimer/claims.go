package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// settleTimeout limits how long outcomes and abandoned claims are kept in memory for writing to the store.
	settleTimeout = 10 * time.Minute
	// inProgressRetry is the maximum and unavailableRetry the default Retry-After duration.
	inProgressRetry  = time.Second
	unavailableRetry = time.Second
)

// Errors returned by Finish and Abandon.
var (
	// ErrPending reports that the write is not confirmed yet; it continues in the background.
	ErrPending = merry.Sentinel("claim write not confirmed yet")
	// ErrLost reports that the row no longer belongs to the claim, or that the write was dropped.
	ErrLost = merry.Sentinel("claim write lost")
	// ErrSettled reports that the claim was already finished or abandoned.
	ErrSettled = merry.Sentinel("claim already settled")
)

// Claim is the exclusive right of one attempt to execute a request. It is settled exactly once, by Finish or Abandon.
type Claim struct {
	deadline time.Time
	key      string
	row      row
	version  uint64
	settled  atomic.Bool
}

// Deadline returns the time from which the request must not be started. Callers check it immediately before the effect.
func (c *Claim) Deadline() time.Time {
	return c.deadline
}

// Claims acquires and settles claims. Its methods are safe for concurrent use.
type Claims struct {
	config Config
	// id and serial form the unique names of the expiry rows.
	id string
	// wake is buffered with capacity 1.
	wake chan struct{}

	mu sync.Mutex
	// queue holds the operations to be written by transactions of this instance.
	queue queue
	// lookups holds inserts whose rows are read before the write. An insert for a key that this instance has seen
	// recently is probably a resend and would fail the withBody transaction. The store handles reads more cheaply.
	lookups queue
	// outboxes holds the operations to be sent to claim owners, by the name of the owner.
	outboxes map[string]*outbox
	recent   *recentKeySet
	serial   uint64
	counters Counters
	// pending and pendingBytes are the number of operations without a result and the size of the bodies in their rows.
	pending, pendingBytes int
	// accepted and acceptedBytes are the number of operations from other instances and the size of their values.
	accepted, acceptedBytes int
	// closed rejects new inserts; stopped rejects all operations.
	closed, stopped bool
}

// New returns Claims, whose operations are processed while Run is active.
func New(c Config) *Claims {
	c = c.withDefaults()
	return &Claims{
		config:   c,
		id:       newID(),
		wake:     make(chan struct{}, 1),
		queue:    queue{interval: c.Interval, maxRows: c.MaxRows, maxBytes: c.MaxBytes, maxInFlight: c.MaxInFlight},
		lookups:  queue{interval: c.Interval, maxRows: lookupRows, maxBytes: c.MaxBytes, maxInFlight: c.MaxInFlight},
		outboxes: make(map[string]*outbox),
		recent:   newRecent(),
	}
}

// Counters returns a snapshot of the counters.
func (c *Claims) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.counters
	r.Pending = c.pending
	return r
}

// Begin attempts to acquire the claim for r. It returns ErrRequest if r is incomplete. Every other failure is reported as
// the verdict Unavailable, after which this attempt is never executed.
func (c *Claims) Begin(ctx context.Context, r Request) (Decision, error) {
	if err := r.validate(); err != nil {
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
		d = c.cancelInsert(o)
	}
	return c.checkDeadline(d), nil
}

// checkDeadline abandons a claim whose deadline passed before the result arrived, for example because the process was paused.
func (c *Claims) checkDeadline(d Decision) Decision {
	if d.Verdict == Unavailable {
		return c.unavailable()
	}
	if d.Verdict != Run {
		return d
	}
	if c.config.Clock().Before(d.Claim.deadline) {
		return d
	}
	// If the write is rejected, the row remains claimed. Resends then get an unknown outcome, which is safe but less
	// precise than "not run".
	_, _ = c.settle(d.Claim, abandon, d.Claim.row)
	return c.unavailable()
}

func (c *Claims) unavailable() Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Unavailable++
	return Decision{Verdict: Unavailable, RetryAfter: unavailableRetry}
}

// Finish stores the outcome of an executed request and returns once the store has confirmed the write. If ctx ends first,
// it returns ErrPending and the write continues in the background for up to 10 min.
func (c *Claims) Finish(ctx context.Context, l *Claim, o Outcome) error {
	c.mu.Lock()
	withBody := c.pendingBytes+len(o.Body) <= c.config.MaxPendingBytes
	c.mu.Unlock()
	return c.settleAndWait(ctx, l, finish, l.row.withOutcome(o, withBody))
}

// Abandon releases the claim of a request that did not run and never will, so that a resend can run. The row is replaced,
// not deleted, because an insert of the same claim may still be applied late. Abandon returns once the store has
// confirmed the write; if ctx ends first, it returns ErrPending and the write continues in the background for up to 10 min.
func (c *Claims) Abandon(ctx context.Context, l *Claim) error {
	return c.settleAndWait(ctx, l, abandon, l.row)
}

func (c *Claims) settleAndWait(ctx context.Context, l *Claim, k operationKind, r row) error {
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

// settle enqueues the write that settles claim l. Only the first call for a claim succeeds.
func (c *Claims) settle(l *Claim, k operationKind, r row) (*operation, error) {
	if l.settled.Swap(true) {
		return nil, merry.Wrap(ErrSettled)
	}
	if k == abandon {
		r.State = abandoned
	}
	o := newOperation(k, l.key, r, l.version, c.config.Clock().Add(settleTimeout))
	if !c.enqueue(o) {
		return nil, merry.Wrap(ErrLost)
	}
	return o, nil
}
