package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

const (
	// maxClosedWait is the longest time that requests are queued while no target accepts any; another owner may have a
	// free slot.
	maxClosedWait = 100 * time.Millisecond
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
)

// Config configures a Pool.
type Config struct {
	Name string
	// ServiceTime is the typical time that a request holds a slot. A request with less time left is not started.
	ServiceTime time.Duration
	// Reserve is the fraction of usable slots, in [0,1), that requests of other regions must leave free.
	Reserve float64
	// QueuePerSlot limits the queue length, in requests per slot of serving targets; the default is 4.
	QueuePerSlot int
	// Grace is how long after its deadline a request may still run because clocks differ; the default is 100 ms.
	Grace time.Duration
}

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		// With 8, the p99 latency at 90 % load was 1.5 to 2 times as long and goodput at 120 % lower
		// (docs/measurements.d/balancer.md).
		c.QueuePerSlot = 4
	}
	if c.Grace == 0 {
		c.Grace = 100 * time.Millisecond
	}
	return c
}

// Pool schedules requests on the targets of one pool that this instance owns.
type Pool struct {
	config     Config
	targets    *indexer.Table[string, target]
	running    *indexer.Table[ID, run]
	queue      *queue
	lastID     ID
	startCount uint64
}

type run struct {
	target   string
	deadline time.Time
	remote   bool
	// unreachable lists the targets that failed to accept a connection for this request.
	unreachable []string
}

// New returns a Pool without targets.
func New(c Config) *Pool {
	return &Pool{
		config:  c.withDefaults(),
		targets: indexer.New[string, target](),
		running: indexer.New[ID, run](),
		queue:   newQueue(),
	}
}

// Configure replaces the configuration; requests and targets are kept.
func (p *Pool) Configure(c Config) {
	p.config = c.withDefaults()
}

// Submit starts, queues or refuses w. If the queue is full, another request may be refused in its place.
func (p *Pool) Submit(now time.Time, w Work) (ID, Actions) {
	var a Actions
	p.lastID++
	id := p.lastID
	p.refresh(now)
	if r := p.submissionRefusal(now, w); r != nil {
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

// Failover assigns a started request that could not connect to its target to another target with a free slot, each
// target at most once. It returns the new target; if there is none, the request has ended.
func (p *Pool) Failover(now time.Time, id ID) (string, bool, Actions) {
	var a Actions
	r := p.running.Get(id)
	if r == nil {
		return "", false, a
	}
	p.refresh(now)
	t := p.targets.Get(r.target)
	t.running--
	t.recordOutcome(now, ConnectFailure, p.mayEject(t))
	r.unreachable = append(r.unreachable, r.target)
	o := p.failoverTarget(now, r)
	if o == nil {
		p.running.Delete(id)
		p.advance(now, &a)
		return "", false, a
	}
	p.assign(o)
	r.target = o.name
	p.advance(now, &a)
	return o.name, true, a
}

// Finish ends a started request and starts queued ones in its place. An id that is not running is ignored.
func (p *Pool) Finish(now time.Time, id ID, o Outcome) Actions {
	var a Actions
	r := p.running.Get(id)
	if r == nil {
		return a
	}
	t, until := p.targets.Get(r.target), r.deadline.Add(p.config.Grace)
	p.running.Delete(id)
	t.running--
	if o.mayRun() && until.After(now) {
		t.outstanding = append(t.outstanding, outstanding{slots: 1, until: until, own: true})
	}
	t.refresh(now)
	t.recordOutcome(now, o, p.mayEject(t))
	p.advance(now, &a)
	return a
}

// Cancel removes a queued request and reports whether it was queued.
func (p *Pool) Cancel(id ID) bool {
	return p.queue.drop(id)
}

// Tick applies the passage of time: it refuses expired requests, returns targets to service and starts queued requests.
func (p *Pool) Tick(now time.Time) Actions {
	var a Actions
	p.advance(now, &a)
	return a
}

// ApplySignal applies a reading of a target's health or load endpoint. Signals of unknown targets are ignored.
func (p *Pool) ApplySignal(now time.Time, name string, s Signal) Actions {
	var a Actions
	if t := p.targets.Get(name); t != nil {
		t.applySignal(now, s)
	}
	p.advance(now, &a)
	return a
}

// SetTargets replaces the targets that the instance owns and returns the outstanding requests of each target that it
// lost.
func (p *Pool) SetTargets(now time.Time, hs []Holding) ([]Residue, Actions) {
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
		lost = append(lost, p.outstandingOn(now, t))
	}
	for _, h := range hs {
		p.setTarget(h)
	}
	p.advance(now, &a)
	return lost, a
}

func (p *Pool) setTarget(h Holding) {
	t := p.targets.Get(h.Target)
	if t == nil {
		t = p.targets.Put(h.Target, target{name: h.Target, state: Gone})
	}
	if t.state == Gone {
		t.reset()
		t.addOutstanding(h.Residues)
	}
	t.configure(h)
}

// SetOutstanding replaces the outstanding requests of earlier owners of a target that this instance owns, for an
// earlier owner that reports late. Outstanding requests of this instance still count.
func (p *Pool) SetOutstanding(now time.Time, name string, rs []Residue) Actions {
	var a Actions
	if t := p.targets.Get(name); t != nil && t.state != Gone {
		t.removeInherited()
		t.addOutstanding(rs)
	}
	p.advance(now, &a)
	return a
}

// Outstanding returns the requests that may still run on targets that this instance no longer owns.
func (p *Pool) Outstanding(now time.Time) []Residue {
	var rs []Residue
	p.refresh(now)
	for _, t := range p.targets.All() {
		if t.state == Gone {
			rs = append(rs, p.outstandingOn(now, t))
		}
	}
	return rs
}

// outstandingOn returns the number of slots that may be occupied on t and the time at which the last of them is free.
func (p *Pool) outstandingOn(now time.Time, t *target) Residue {
	m := Residue{Target: t.name, Slots: t.busySlots(), Until: now}
	for _, r := range t.outstanding {
		m.Until = latest(m.Until, r.until)
	}
	for _, r := range p.running.All() {
		if r.target == t.name {
			m.Until = latest(m.Until, r.deadline.Add(p.config.Grace))
		}
	}
	return m
}

// refresh applies the passage of time to all targets and removes lost targets on which nothing runs any more.
func (p *Pool) refresh(now time.Time) {
	for name, t := range p.targets.All() {
		t.refresh(now)
		if t.state == Gone && t.busySlots() == 0 {
			p.targets.Delete(name)
		}
	}
}

// ignoresSignals reports whether endpoint signals would take more than half of the targets out of service.
func (p *Pool) ignoresSignals() bool {
	n, out := 0, 0
	for _, t := range p.targets.All() {
		if !t.serves() {
			continue
		}
		n++
		// Contradicted signals count too. Otherwise, after many endpoints fail at once, each further contradiction
		// would bring the remaining signals below half and so into effect.
		if t.state == Suspect || t.signal.unhealthy {
			out++
		}
	}
	return 2*out > n
}

// mayEject reports whether t may be ejected for failures that a request itself can cause. At least half of the targets
// stay in service.
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
