package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
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

// refresh lets time take effect on all targets.
func (p *Pool) refresh(now time.Time) {
	for name, t := range p.targets.All() {
		t.refresh(now)
		if t.state == Gone && t.busy() == 0 {
			p.targets.Delete(name)
		}
	}
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
