package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	defaultInterval     = 25 * time.Millisecond
	defaultInFlight     = 16
	defaultRows         = 256
	defaultBytes        = 1 << 20
	defaultBeginTimeout = 2 * time.Second
	defaultPending      = 4096
	defaultPendingBytes = 8 << 20
	lookupRows          = 64
	// commitTimeout is twice the timeout of storer.Client, for stores without a bound of their own.
	commitTimeout = 2 * time.Second
	// settleTime bounds how long outcomes and abandoned claims wait in memory for the store.
	settleTime = 10 * time.Minute
	// drainTime bounds how long Run goes on after its context has ended.
	drainTime = 3 * time.Second
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

// Config configures Claims; only Store is required.
type Config struct {
	Store storer.Store
	// Clock is timer.Now if nil.
	Clock timer.Clock
	// Interval is the shortest time between the starts of two transactions; 25 ms if zero.
	Interval time.Duration
	// InFlight bounds the transactions that have started and not ended; 16 if zero.
	InFlight int
	// Rows and Bytes bound one transaction; 256 rows and 1 MiB if zero. One operation may exceed Bytes.
	Rows  int
	Bytes int
	// BeginTimeout bounds Begin in addition to the deadline of the request; 2 s if zero.
	BeginTimeout time.Duration
	// Pending and PendingBytes bound what waits; 4,096 operations and 8 MiB if zero. Beyond
	// PendingBytes outcomes are stored without their bodies.
	Pending      int
	PendingBytes int
}

// Counters are totals since the start.
type Counters struct {
	// Transactions counts starts, and Conflicts and Failures those without effect or with an unknown one.
	Transactions, Conflicts, Failures uint64
	// Lookups counts the reads for resends.
	Lookups uint64
	// Unavailable counts the requests refused as not run because no claim could be made.
	Unavailable uint64
	// Dropped counts the outcomes and abandoned claims that the store never took.
	Dropped uint64
	// Pending is the number of operations that wait or are in flight.
	Pending int
}

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
	// id and serial name the rows by which expired claims are found.
	id   string
	wake chan struct{}

	mu    sync.Mutex
	queue queue
	// lookups holds the inserts whose keys came to this instance before: a resend would fail
	// the transaction of others, so its row is read first, for which the store has more room.
	lookups  queue
	recent   *recent
	serial   uint64
	pending  int
	bytes    int
	closed   bool
	stopped  bool
	counters Counters
}

// New returns Claims that make progress while Run runs.
func New(c Config) *Claims {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	c.Interval = valueOr(c.Interval, defaultInterval)
	c.InFlight = valueOr(c.InFlight, defaultInFlight)
	c.Rows = valueOr(c.Rows, defaultRows)
	c.Bytes = valueOr(c.Bytes, defaultBytes)
	c.BeginTimeout = valueOr(c.BeginTimeout, defaultBeginTimeout)
	c.Pending = valueOr(c.Pending, defaultPending)
	c.PendingBytes = valueOr(c.PendingBytes, defaultPendingBytes)
	return &Claims{
		config: c,
		id:     newID(),
		wake:   make(chan struct{}, 1),
		queue:  queue{interval: c.Interval, rows: c.Rows, bytes: c.Bytes, maxFlight: c.InFlight},
		// Each row may hold an answer of 64 KiB.
		lookups: queue{interval: c.Interval, rows: lookupRows, bytes: c.Bytes, maxFlight: c.InFlight},
		recent:  newRecent(),
	}
}

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

func (c *Claims) advance(ctx context.Context, group *errgroup.Group, t *time.Timer) {
	if wait, ok := c.start(ctx, group); ok {
		t.Reset(wait)
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
// run; it never deletes the row, since an insert of the same claim may be applied late. It returns when the store has it; if ctx ends before, the error is ErrPending and the write goes on.
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

func (c *Claims) enqueue(o *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put(o)
}

// put admits inserts up to the bound, and settlements up to twice the bound, because those free rows for resends.
func (c *Claims) put(o *operation) bool {
	limit := c.config.Pending
	if o.kind != insert {
		limit *= 2
	}
	if c.pending >= limit || c.stopped || c.closed && o.kind == insert {
		c.countDrop(o)
		return false
	}
	c.pending++
	c.bytes += len(o.row.Body)
	q := &c.queue
	if o.kind == insert && c.recent.add(o.key) {
		q = &c.lookups
	}
	q.add(o)
	c.signal()
	return true
}

func (c *Claims) countDrop(o *operation) {
	if o.kind != insert {
		c.counters.Dropped++
	}
}

func (c *Claims) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// giveUp ends the wait for an insert; if it may have taken effect, its row is marked as abandoned.
func (c *Claims) giveUp(o *operation) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.decided {
		return (<-o.result).decision
	}
	o.givenUp = true
	if !o.inFlight {
		c.queue.remove(o)
		c.lookups.remove(o)
		c.withdraw(o)
	}
	return Decision{Verdict: Unavailable}
}

// withdraw replaces an insert that nobody waits for by the abandoning of its row.
func (c *Claims) withdraw(o *operation) {
	c.decide(o, result{decision: Decision{Verdict: Unavailable}})
	if !o.uncertain {
		return
	}
	r := o.row
	r.State = abandoned
	c.put(newOperation(abandon, o.key, r, o.version, c.config.Clock().Add(settleTime)))
}

func (c *Claims) decide(o *operation, r result) {
	o.decided = true
	o.result <- r
	c.pending--
	c.bytes -= len(o.row.Body)
}

func (c *Claims) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, o := range append(c.queue.inserts, c.lookups.inserts...) {
		c.withdraw(o)
	}
	c.queue.inserts, c.lookups.inserts = nil, nil
}

// stop drops what the store has not taken when Run ends.
func (c *Claims) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, q := range []*queue{&c.queue, &c.lookups} {
		for _, o := range q.clear() {
			c.drop(o)
		}
	}
}

// start begins the transactions and reads that are due, and returns the time until the next one.
func (c *Claims) start(ctx context.Context, group *errgroup.Group) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	write, writes := c.startQueue(&c.queue, func(list []*operation) {
		c.counters.Transactions++
		t := c.transaction(list)
		group.Go(func() error {
			c.commit(ctx, list, t)
			return nil
		})
	})
	read, reads := c.startQueue(&c.lookups, func(list []*operation) {
		c.counters.Lookups++
		group.Go(func() error {
			c.lookUp(ctx, list)
			return nil
		})
	})
	if writes && reads {
		return min(write, read), true
	}
	return max(write, read), writes || reads
}

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

// lookUp reads the rows of keys that came before, and passes on the inserts that may succeed.
func (c *Claims) lookUp(ctx context.Context, list []*operation) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var keys []string
	for _, o := range list {
		keys = append(keys, o.key)
	}
	rows, err := c.config.Store.Read(ctx, keys...)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	now := c.config.Clock()
	c.lookups.ended(now, err != nil)
	current := storer.ByKey(rows)
	for _, o := range list {
		o.inFlight = false
		// After a failed read the transaction itself finds the row.
		if err == nil && !c.resolve(o, current[o.key], now) {
			continue
		}
		if o.givenUp {
			c.withdraw(o)
			continue
		}
		c.queue.add(o)
	}
}

// live drops the operations whose time is over.
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

func (c *Claims) drop(o *operation) {
	c.countDrop(o)
	c.decide(o, result{decision: Decision{Verdict: Unavailable}, err: merry.Wrap(ErrLost)})
}

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

func (c *Claims) committed(list []*operation, rows []storer.Row) {
	written := storer.ByKey(rows)
	for _, o := range list {
		c.effective(o, written[o.key].Version)
	}
}

// effective ends an operation whose effect is in the store.
func (c *Claims) effective(o *operation, version uint64) {
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

// conflicted resolves the operations whose checks failed and repeats the others.
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

// resolve reports whether the operation has to be repeated.
func (c *Claims) resolve(o *operation, r storer.Row, now time.Time) bool {
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

func (c *Claims) refuse(o *operation, d Decision) {
	if o.kind == insert {
		c.decide(o, result{decision: d})
		return
	}
	c.drop(o)
}

// failed repeats a transaction that has no effect or an unknown one; the claim ids show whether it had one.
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

// rejected halves a transaction that the store refuses as malformed, so that one operation does not fail the others.
func (c *Claims) rejected(list []*operation) {
	if len(list) > 1 {
		c.queue.repeat(list[:len(list)/2])
		c.queue.repeat(list[len(list)/2:])
		return
	}
	c.drop(list[0])
}

func valueOr[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}
