package balancer

import (
	"context"
	"errors"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

// tickInterval bounds the delay in refusing expired requests and in returning targets to service.
const tickInterval = 10 * time.Millisecond

// Dispatcher makes a Pool safe for concurrent use.
type Dispatcher struct {
	clock timer.Clock

	mu      sync.Mutex
	pool    *Pool
	waiters map[ID]chan result
}

type result struct {
	lease *Lease
	err   error
}

// NewDispatcher returns a Dispatcher for an empty Pool. Deadlines, ejections and pauses expire only while Run is
// running.
func NewDispatcher(c Config, clock timer.Clock) *Dispatcher {
	return &Dispatcher{clock: clock, pool: New(c), waiters: make(map[ID]chan result)}
}

// Lease is the right to run one request on one target.
type Lease struct {
	Target string

	d  *Dispatcher
	id ID
}

// Release frees the slot and records the outcome; calls after the first have no effect.
func (l *Lease) Release(o Outcome) {
	l.d.finish(l.id, o)
}

// Move reports whether the request was assigned to another target because no connection to the current one could be
// made. If so, Target is updated; otherwise the lease has been released with ConnectFailure.
func (l *Lease) Move() bool {
	t, ok := l.d.failover(l.id)
	if ok {
		l.Target = t
	}
	return ok
}

// Run processes expired deadlines, ejections and pauses every tickInterval until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	timer.Every(ctx, tickInterval, func(context.Context) { d.apply(d.pool.Tick) })
}

// Acquire blocks until w may start. The error is a *responder.Refusal, or the error of ctx if ctx ended first; in both
// cases w has not run.
func (d *Dispatcher) Acquire(ctx context.Context, w Work) (*Lease, error) {
	id, c := d.submit(w)
	select {
	case r := <-c:
		return r.lease, r.err
	case <-ctx.Done():
	}
	if d.cancel(id) {
		return nil, d.contextError(ctx)
	}
	// The request left the queue concurrently, so its result is already in the channel.
	r := <-c
	if r.lease == nil {
		return nil, r.err
	}
	r.lease.Release(NotSent)
	return nil, d.contextError(ctx)
}

// Do acquires a lease, calls f and releases the lease with the outcome of f. If f panics, the slot stays occupied until
// the deadline of w plus the grace, because w may still run.
func (d *Dispatcher) Do(ctx context.Context, w Work, f func(*Lease) Outcome) error {
	l, err := d.Acquire(ctx, w)
	if err != nil {
		return err
	}
	defer l.Release(Canceled)
	l.Release(f(l))
	return nil
}

// Adopt replaces the targets that the instance owns; see Pool.SetTargets.
func (d *Dispatcher) Adopt(hs []Holding) []Residue {
	var rs []Residue
	d.apply(func(now time.Time) Actions {
		var a Actions
		rs, a = d.pool.SetTargets(now, hs)
		return a
	})
	return rs
}

// Inherit replaces the outstanding requests of earlier owners of a target; see Pool.SetOutstanding.
func (d *Dispatcher) Inherit(target string, rs []Residue) {
	d.apply(func(now time.Time) Actions { return d.pool.SetOutstanding(now, target, rs) })
}

// Observe applies a reading of a target's health or load endpoint.
func (d *Dispatcher) Observe(target string, s Signal) {
	d.apply(func(now time.Time) Actions { return d.pool.ApplySignal(now, target, s) })
}

// Configure replaces the configuration; requests and targets are kept.
func (d *Dispatcher) Configure(c Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Configure(c)
}

// Residues returns the requests that may still run on targets that this instance no longer owns.
func (d *Dispatcher) Residues() []Residue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Outstanding(d.clock())
}

// Load returns the number of slots, the number of free slots and the queue length.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Load(d.clock())
}

// Statuses returns the status of each target.
func (d *Dispatcher) Statuses() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Statuses(d.clock())
}

// apply runs f on the pool and delivers the resulting actions to the waiting requests.
func (d *Dispatcher) apply(f func(now time.Time) Actions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(f(d.clock()))
}

func (d *Dispatcher) submit(w Work) (ID, chan result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan result, 1)
	id, a := d.pool.Submit(d.clock(), w)
	d.waiters[id] = c
	d.deliver(a)
	return id, c
}

func (d *Dispatcher) finish(id ID, o Outcome) {
	d.apply(func(now time.Time) Actions { return d.pool.Finish(now, id, o) })
}

func (d *Dispatcher) failover(id ID) (target string, moved bool) {
	d.apply(func(now time.Time) Actions {
		var a Actions
		target, moved, a = d.pool.Failover(now, id)
		return a
	})
	return target, moved
}

// cancel reports whether the request was still queued.
func (d *Dispatcher) cancel(id ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pool.Cancel(id) {
		return false
	}
	delete(d.waiters, id)
	return true
}

func (d *Dispatcher) deliver(a Actions) {
	for _, s := range a.Starts {
		d.waiters[s.ID] <- result{lease: &Lease{Target: s.Target, d: d, id: s.ID}}
		delete(d.waiters, s.ID)
	}
	for _, r := range a.Refused {
		d.waiters[r.ID] <- result{err: r.Refusal}
		delete(d.waiters, r.ID)
	}
}

// contextError returns the error of a request whose context ended before it started.
func (d *Dispatcher) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.pool.deadlineRefusal()
	}
	return ctx.Err()
}
