package balancer

import (
	"context"
	"errors"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

// tickInterval bounds the delay of refusals of expired works and of the return of targets.
const tickInterval = 10 * time.Millisecond

// Dispatcher makes a Pool usable from many goroutines.
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

// NewDispatcher returns a Dispatcher for an empty Pool; Run must run for time to take effect.
func NewDispatcher(c Config, clock timer.Clock) *Dispatcher {
	return &Dispatcher{clock: clock, pool: New(c), waiters: make(map[ID]chan result)}
}

// Lease is the right to run one work on one target.
type Lease struct {
	Target string

	d  *Dispatcher
	id ID
}

// Release gives the slot back; only the first call counts.
func (l *Lease) Release(o Outcome) {
	l.d.finish(l.id, o)
}

// Move reports whether the work goes on at another target, which Target names then, because it did not reach this one;
// otherwise the lease has been released with ConnectFailure.
func (l *Lease) Move() bool {
	t, ok := l.d.move(l.id)
	if ok {
		l.Target = t
	}
	return ok
}

// Run lets time take effect until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	timer.Every(ctx, tickInterval, func(context.Context) { d.do(d.pool.Tick) })
}

// Acquire blocks until w may start.
// The error is a *responder.Refusal, or the error of ctx if its end came first; in both cases w has not run.
func (d *Dispatcher) Acquire(ctx context.Context, w Work) (*Lease, error) {
	id, c := d.submit(w)
	select {
	case r := <-c:
		return r.lease, r.err
	case <-ctx.Done():
	}
	if d.cancel(id) {
		return nil, d.ended(ctx)
	}
	// The work left the queue at the same moment, so the result is there.
	r := <-c
	if r.lease == nil {
		return nil, r.err
	}
	r.lease.Release(NotSent)
	return nil, d.ended(ctx)
}

// Do acquires a lease, calls f and releases the lease with the outcome of f.
// If f panics, the slot stays occupied until the deadline of w, as w may still run.
func (d *Dispatcher) Do(ctx context.Context, w Work, f func(*Lease) Outcome) error {
	l, err := d.Acquire(ctx, w)
	if err != nil {
		return err
	}
	defer l.Release(Canceled)
	l.Release(f(l))
	return nil
}

// Adopt replaces the targets that the instance owns; see Pool.Adopt.
func (d *Dispatcher) Adopt(hs []Holding) []Residue {
	var rs []Residue
	d.do(func(now time.Time) Actions {
		var a Actions
		rs, a = d.pool.Adopt(now, hs)
		return a
	})
	return rs
}

// Inherit replaces the residues of earlier owners; see Pool.Inherit.
func (d *Dispatcher) Inherit(target string, rs []Residue) {
	d.do(func(now time.Time) Actions { return d.pool.Inherit(now, target, rs) })
}

// Observe applies a signal of the endpoints of a target.
func (d *Dispatcher) Observe(target string, s Signal) {
	d.do(func(now time.Time) Actions { return d.pool.Observe(now, target, s) })
}

// Configure replaces the configuration; works and targets stay.
func (d *Dispatcher) Configure(c Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Configure(c)
}

// Residues returns what may still run on targets that this instance no longer owns.
func (d *Dispatcher) Residues() []Residue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Residues(d.clock())
}

// Load returns the slots and the length of the queue.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Load(d.clock())
}

// Statuses describes the targets.
func (d *Dispatcher) Statuses() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Statuses(d.clock())
}

// do applies an event to the pool and wakes the works that it concerns.
func (d *Dispatcher) do(f func(now time.Time) Actions) {
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
	d.do(func(now time.Time) Actions { return d.pool.Finish(now, id, o) })
}

func (d *Dispatcher) move(id ID) (target string, moved bool) {
	d.do(func(now time.Time) Actions {
		var a Actions
		target, moved, a = d.pool.Move(now, id)
		return a
	})
	return target, moved
}

// cancel reports whether the work was still queued.
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

// ended returns the error for a work whose context ended before it started.
func (d *Dispatcher) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.pool.late()
	}
	return ctx.Err()
}
