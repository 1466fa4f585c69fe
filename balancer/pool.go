package balancer

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/indexer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// maxStall is the longest time that works wait for a target to open; another owner may have a free slot.
	maxStall = 100 * time.Millisecond
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
)

// Config configures a Pool.
type Config struct {
	Name string
	// ServiceTime is how long a work usually holds a slot; a work is not started with less time left.
	ServiceTime time.Duration
	// Reserve is the share of slots, in [0,1), that remote work leaves free.
	Reserve float64
	// QueuePerSlot limits the queue, in works per slot owned; the default is 4.
	QueuePerSlot int
	// Grace is how long after its deadline a work may still run because clocks differ; the default is 100 ms.
	Grace time.Duration
}

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		// With 8, p99 at 90 % load was 1.5 to 2 times as long and goodput at 120 % lower (docs/measurements.d/balancer.md).
		c.QueuePerSlot = 4
	}
	if c.Grace == 0 {
		c.Grace = 100 * time.Millisecond
	}
	return c
}

// Pool holds the targets of one pool that this instance owns.
type Pool struct {
	c       Config
	targets *indexer.Table[string, target]
	running *indexer.Table[ID, run]
	queue   *queue
	last    ID
	starts  uint64
}

type run struct {
	target   string
	deadline time.Time
	remote   bool
	// unreached holds the targets that refused the connection for this work.
	unreached []string
}

// New returns a Pool without targets.
func New(c Config) *Pool {
	return &Pool{
		c:       c.withDefaults(),
		targets: indexer.New[string, target](),
		running: indexer.New[ID, run](),
		queue:   newQueue(),
	}
}

// Configure replaces the configuration; works and targets stay.
func (p *Pool) Configure(c Config) {
	p.c = c.withDefaults()
}

// Submit starts w, queues it or refuses it; a full queue may refuse another work in its place.
func (p *Pool) Submit(now time.Time, w Work) (ID, Actions) {
	var a Actions
	p.last++
	id := p.last
	p.refresh(now)
	if r := p.unfit(now, w); r != nil {
		a.refuse(id, r)
		return id, a
	}
	if w.Remote {
		p.submitRemote(now, id, w, &a)
		return id, a
	}
	p.queue.push(id, w)
	p.advance(now, &a)
	return id, a
}

// submitRemote starts w if slots beyond the reserve are free and nobody waits.
func (p *Pool) submitRemote(now time.Time, id ID, w Work, a *Actions) {
	if p.queue.length > 0 || p.free(now) <= p.reserve() {
		a.refuse(id, p.full())
		return
	}
	p.start(id, w, p.pick(now, nil), a)
}

// reserve is a share of the slots that may be used, or owners of cold targets would refuse all remote work.
func (p *Pool) reserve() int {
	return int(math.Ceil(p.c.Reserve * float64(p.usable())))
}

// Move ends the try of a started work that reached no target and starts it on another one with a free slot, on each at
// most once. It returns that target; without one the work has ended.
func (p *Pool) Move(now time.Time, id ID) (string, bool, Actions) {
	var a Actions
	r := p.running.Get(id)
	if r == nil {
		return "", false, a
	}
	p.refresh(now)
	t := p.targets.Get(r.target)
	t.running--
	t.observe(now, ConnectFailure, p.mayEject(t))
	r.unreached = append(r.unreached, r.target)
	o := p.other(now, r)
	if o == nil {
		p.running.Delete(id)
		p.advance(now, &a)
		return "", false, a
	}
	p.occupy(o)
	r.target = o.name
	p.advance(now, &a)
	return o.name, true, a
}

// other returns the best target with a free slot that r has not tried, or nil; remote work leaves the reserve free.
func (p *Pool) other(now time.Time, r *run) *target {
	if tooLate(now, Work{Deadline: r.deadline}, p.c.ServiceTime) || r.remote && p.free(now) <= p.reserve() {
		return nil
	}
	return p.pick(now, r.unreached)
}

// Finish ends a started work and starts others in its place; an id that does not run is ignored.
func (p *Pool) Finish(now time.Time, id ID, o Outcome) Actions {
	var a Actions
	r := p.running.Get(id)
	if r == nil {
		return a
	}
	t, until := p.targets.Get(r.target), r.deadline.Add(p.c.Grace)
	p.running.Delete(id)
	t.running--
	if o.mayRun() && until.After(now) {
		t.residues = append(t.residues, residue{slots: 1, until: until, own: true})
	}
	t.refresh(now)
	t.observe(now, o, p.mayEject(t))
	p.advance(now, &a)
	return a
}

// Cancel removes a queued work and reports whether it was queued.
func (p *Pool) Cancel(id ID) bool {
	return p.queue.drop(id)
}

// Tick lets time take effect: works past their deadline are refused, targets return and queued works start.
func (p *Pool) Tick(now time.Time) Actions {
	var a Actions
	p.advance(now, &a)
	return a
}

// Observe applies a signal of the endpoints of a target; an unknown target is ignored.
func (p *Pool) Observe(now time.Time, name string, s Signal) Actions {
	var a Actions
	if t := p.targets.Get(name); t != nil {
		t.hear(now, s)
	}
	p.advance(now, &a)
	return a
}

// Adopt replaces the targets that the instance owns and returns a residue for each target that it lost.
func (p *Pool) Adopt(now time.Time, hs []Holding) ([]Residue, Actions) {
	var a Actions
	var lost []Residue
	wanted := make(map[string]bool, len(hs))
	for _, h := range hs {
		wanted[h.Target] = true
	}
	for name, t := range p.targets.All() {
		if wanted[name] || t.state == Gone {
			continue
		}
		t.refresh(now)
		t.state = Gone
		lost = append(lost, p.residue(now, t))
	}
	for _, h := range hs {
		p.adopt(h)
	}
	p.advance(now, &a)
	return lost, a
}

func (p *Pool) adopt(h Holding) {
	t := p.targets.Get(h.Target)
	if t == nil {
		t = p.targets.Put(h.Target, target{name: h.Target, state: Gone})
	}
	if t.state == Gone {
		t.reset()
		t.inherit(h.Residues)
	}
	t.resize(h)
}

// Inherit replaces the residues of earlier owners of a target that this instance owns, for one that reports late.
// Works that this instance gave up on itself still count.
func (p *Pool) Inherit(now time.Time, name string, rs []Residue) Actions {
	var a Actions
	if t := p.targets.Get(name); t != nil && t.state != Gone {
		t.disinherit()
		t.inherit(rs)
	}
	p.advance(now, &a)
	return a
}

// Residues returns what may still run on targets that this instance no longer owns.
func (p *Pool) Residues(now time.Time) []Residue {
	var rs []Residue
	p.refresh(now)
	for _, t := range p.targets.All() {
		if t.state == Gone {
			rs = append(rs, p.residue(now, t))
		}
	}
	return rs
}

// residue sums up what may still run on t.
func (p *Pool) residue(now time.Time, t *target) Residue {
	m := Residue{Target: t.name, Slots: t.busy(), Until: now}
	for _, r := range t.residues {
		m.Until = later(m.Until, r.until)
	}
	for _, r := range p.running.All() {
		if r.target == t.name {
			m.Until = later(m.Until, r.deadline.Add(p.c.Grace))
		}
	}
	return m
}

// advance is the system that runs over all entities after each event.
func (p *Pool) advance(now time.Time, a *Actions) {
	p.refresh(now)
	if p.queue.length == 0 {
		return
	}
	for _, q := range p.queue.expire(now, p.c.ServiceTime) {
		a.refuse(q.id, p.late())
	}
	p.dispatch(now, a)
	if p.queue.length == 0 {
		return
	}
	if r := p.closed(now); r != nil {
		for _, q := range p.queue.removeIf(func(Work) bool { return true }) {
			a.refuse(q.id, r)
		}
	}
	for p.queue.length > p.c.QueuePerSlot*p.slots() {
		a.refuse(p.queue.dropNewest().id, p.full())
	}
}

// refresh lets time take effect on all targets.
func (p *Pool) refresh(now time.Time) {
	for name, t := range p.targets.All() {
		t.refresh(now)
		if t.state == Gone && t.busy() == 0 {
			p.targets.Delete(name)
		}
	}
}

// dispatch starts queued works while there are free slots.
func (p *Pool) dispatch(now time.Time, a *Actions) {
	for p.queue.length > 0 {
		t := p.pick(now, nil)
		if t == nil {
			return
		}
		q := p.queue.pop()
		p.start(q.id, q.work, t, a)
	}
}

func (p *Pool) start(id ID, w Work, t *target, a *Actions) {
	p.occupy(t)
	p.running.Put(id, run{target: t.name, deadline: w.Deadline, remote: w.Remote})
	a.Starts = append(a.Starts, Start{ID: id, Work: w, Target: t.name})
}

func (p *Pool) occupy(t *target) {
	t.running++
	p.starts++
	t.started = p.starts
}

// pick returns the best target with a free slot that is not among but, or nil.
func (p *Pool) pick(now time.Time, but []string) *target {
	ignore := p.ignoresSignals()
	var m *target
	for _, t := range p.targets.All() {
		if t.room(now, ignore) == 0 || slices.Contains(but, t.name) {
			continue
		}
		if m == nil || t.before(m) {
			m = t
		}
	}
	return m
}

// ignoresSignals reports whether endpoint signals would take out more than half of the targets.
func (p *Pool) ignoresSignals() bool {
	n, out := 0, 0
	for _, t := range p.targets.All() {
		if !t.serves() {
			continue
		}
		n++
		// Contradicted signals count too, or the rest of many that failed at once would be believed one by one.
		if t.state == Suspect || t.signal.bad {
			out++
		}
	}
	return 2*out > n
}

// mayEject reports whether failures that a request can cause may take t out; half of the targets stay.
func (p *Pool) mayEject(t *target) bool {
	n, out := 0, 1
	for _, o := range p.targets.All() {
		if !o.serves() {
			continue
		}
		n++
		if o != t && o.state == Suspect {
			out++
		}
	}
	return 2*out <= n
}

// slots is the number of slots of targets that serve.
func (p *Pool) slots() int {
	n := 0
	for _, t := range p.targets.All() {
		if t.serves() {
			n += t.capacity()
		}
	}
	return n
}

// free is the number of works that may start now.
func (p *Pool) free(now time.Time) int {
	n, ignore := 0, p.ignoresSignals()
	for _, t := range p.targets.All() {
		n += t.room(now, ignore)
	}
	return n
}

// unfit returns the refusal of a work that should not wait here, or nil.
func (p *Pool) unfit(now time.Time, w Work) *responder.Refusal {
	if tooLate(now, w, p.c.ServiceTime) {
		return p.late()
	}
	return p.closed(now)
}

// closed returns the refusal of all work while no target can take any, or nil.
func (p *Pool) closed(now time.Time) *responder.Refusal {
	var opens time.Time
	serves, inherited, ignore := false, true, p.ignoresSignals()
	for _, t := range p.targets.All() {
		if !t.serves() {
			continue
		}
		inherited = inherited && t.occupied() && !t.closed.After(now)
		o := t.opens(now, ignore)
		if !serves || o.Before(opens) {
			opens = o
		}
		serves = true
	}
	if !serves {
		return p.refusal(responder.NoOwner, "this instance owns no target of pool %s that accepts work")
	}
	wait := opens.Sub(now)
	if wait <= maxStall {
		return nil
	}
	r := p.refusal(responder.NoSlot, "no target of pool %s that this instance owns accepts work at present")
	if inherited {
		// Not load but a change of owner is the cause, and the earlier owner may report soon that its works have ended.
		r = p.refusal(responder.NoOwner, "works of earlier owners occupy all targets of pool %s that this instance owns")
	}
	r.RetryAfter = max(wait, minRetryAfter)
	return r
}

func (p *Pool) full() *responder.Refusal {
	r := p.refusal(responder.NoSlot, "all slots and queue places of pool %s are taken")
	drained := time.Duration(p.queue.length) * p.c.ServiceTime / time.Duration(max(p.slots(), 1))
	r.RetryAfter = max(drained, minRetryAfter)
	return r
}

func (p *Pool) late() *responder.Refusal {
	r := p.refusal(responder.DeadlineExceeded, "no slot of pool %s was free in time")
	r.Status = http.StatusGatewayTimeout
	return r
}

// refusal inserts the name of the pool into format.
func (p *Pool) refusal(reason responder.Reason, format string) *responder.Refusal {
	return &responder.Refusal{
		Status:  http.StatusServiceUnavailable,
		Reason:  reason,
		Ran:     responder.NotRun,
		Message: fmt.Sprintf(format, p.c.Name),
	}
}

// Load is what an owner reports about its part of a pool.
type Load struct {
	Slots, Free, Queued int
}

// Load returns the slots that works of this instance may take, how many are free, and the length of the queue.
func (p *Pool) Load(now time.Time) Load {
	p.refresh(now)
	// Slots in which works of an earlier owner run do not count, so that an owner without others gets no requests.
	return Load{Slots: p.usable(), Free: p.free(now), Queued: p.queue.length}
}

// usable is the number of slots that works of this instance may take.
func (p *Pool) usable() int {
	n := 0
	for _, t := range p.targets.All() {
		n += t.usable()
	}
	return n
}

// Status describes one target.
type Status struct {
	Target string
	State  State
	Slots  int
	// Running counts works of this instance, Inherited slots that others or abandoned works may occupy.
	Running, Inherited int
}

// Statuses returns the targets in the order in which they were gained.
func (p *Pool) Statuses(now time.Time) []Status {
	var ss []Status
	p.refresh(now)
	for _, t := range p.targets.All() {
		ss = append(ss, Status{Target: t.name, State: t.state, Slots: t.slots, Running: t.running, Inherited: t.inherited()})
	}
	return ss
}
