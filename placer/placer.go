package placer

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// rankStep is the part of an object's unknown work by which each further place in the object's order of targets
	// counts as later, so that instances that know nothing yet choose the same targets.
	rankStep = 0.04
	// strangeCost is the factor by which work on a target that does not know the object counts, since it occupies the
	// slot longer than it would elsewhere.
	strangeCost = 1.3
	// roomShare is the part of the targets that have a free slot while a service is not overloaded.
	roomShare = 0.1
	// roomPatience is the part of the objective by which an answer may be late while the service is not overloaded.
	roomPatience = 1.0
	// farCharge is the part of the objective by which another region counts as farther than it is: links between regions
	// are narrow and shared.
	farCharge = 0.5
	// introduceAfter is how long a target that joined later waits for its first request before the instance that sends to
	// it while it is cold gives it one.
	introduceAfter = 500 * time.Millisecond
	// coldSlowness is how much longer a cold target works.
	coldSlowness = 2
	// minRetryAfter and maxRetryAfter bound the wait that a rejected caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// noTargetRetryAfter is told when no target may have a request; pauses after faults begin with 300 ms.
	noTargetRetryAfter = 250 * time.Millisecond
	// patienceRuns is how many times its usual run a request may take, and patienceSlack what is added for the way,
	// before the target is suspected to be gone.
	patienceRuns  = 3
	patienceSlack = 250 * time.Millisecond
	// suspectPause is how long a suspected target gets nothing.
	suspectPause = time.Second
	// measuredRuns is the number of requests after which the mean of their work is taken for measured.
	measuredRuns = 10
	// lostPause is how long a target gets nothing after its address was found to be another's; its row is gone by then.
	lostPause = 10 * time.Second
	// maxOrders bounds the remembered orders of targets.
	maxOrders = 4096
)

// Config configures a Placer.
type Config struct {
	// Region is that of the instance.
	Region string
	// Trip returns the time to a region and back.
	Trip func(region string) time.Duration
	// Cold decides about a request to a cold target: whether this instance sends to it at all, and takes one if it may.
	Cold Gate
}

// Gate limits what cold targets get from all instances together.
type Gate interface {
	Sends(target string) bool
	Take(now time.Time, target string, rate float64) bool
}

// Work is a request to place.
type Work struct {
	Route   *cataloger.Route
	Service string
	// Object is what the request is about; empty if it is not known.
	Object string
	// Regions limits where it may run; empty allows all.
	Regions []string
	// Objective is when an answer stops being of full use, Deadline when it stops being of any.
	Objective, Deadline time.Time
	// Tried are the targets that had the request already.
	Tried []string

	key string
	// room is true if the service is not overloaded.
	room bool
}

// Lease is a request on a target.
type Lease struct {
	Target *cataloger.Target
	// Wait and Run are the estimates by which the target was chosen.
	Wait, Run time.Duration
	// Known is true if the target was taken to know the object.
	Known bool

	work  Work
	start time.Time
	// sent is when the first byte went to the target.
	sent  time.Time
	ended bool
	// alone is true if a slot was free at the start as far as known.
	alone bool
}

// Placer holds what is known of the targets; it is safe for concurrent use.
type Placer struct {
	config Config

	mu      sync.Mutex
	targets map[string]*target
	paces   map[paceKey]*pace
	spares  map[string]*spare
	orders  map[orderKey]order
	demands map[string]*demand
	// begun is when the first request came.
	begun time.Time
}

type orderKey struct{ service, object string }

type order struct {
	pool    *cataloger.Pool
	targets []*cataloger.Target
}

// New returns a placer that knows nothing.
func New(c Config) *Placer {
	return &Placer{config: c, targets: map[string]*target{}, paces: map[paceKey]*pace{}, spares: map[string]*spare{}, orders: map[orderKey]order{}, demands: map[string]*demand{}}
}

// candidate is a target with its estimate.
type candidate struct {
	target *cataloger.Target
	state  *target
	wait   time.Duration
	run    time.Duration
	// cost orders the candidates; it is the time until the answer with the charges for strange objects and faults.
	cost  time.Duration
	known bool
}

// Choose places a request, or returns why it is rejected; the lease must be ended.
func (p *Placer) Choose(now time.Time, pool *cataloger.Pool, w Work) (*Lease, *responder.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun.IsZero() {
		p.begun = now
	}
	w.key = objectKey(w)
	cs := p.candidates(now, pool, w)
	w.room = hasRoom(cs)
	for len(cs) > 0 {
		i := p.best(now, w, cs)
		c := cs[i]
		if f := p.reject(now, w, c); f != nil {
			return nil, f
		}
		if !now.Before(c.target.ColdUntil) || p.config.Cold.Take(now, c.target.Name, pool.ColdRate) {
			return p.start(now, w, c), nil
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return nil, noTarget()
}

// hasRoom reports whether enough targets have a free slot for the service not to be overloaded.
func hasRoom(cs []candidate) bool {
	n := 0
	for _, c := range cs {
		if c.wait == 0 {
			n++
		}
	}
	return float64(n) >= roomShare*float64(len(cs))
}

// best returns the index of the candidate with the least cost. If all targets that know the object are too busy to
// answer in time, one with a free slot gets to know it as far as the service's spare time goes.
func (p *Placer) best(now time.Time, w Work, cs []candidate) int {
	best, known, free := 0, -1, -1
	for i, c := range cs {
		if c.cost < cs[best].cost {
			best = i
		}
		if c.known && (known < 0 || c.cost < cs[known].cost) {
			known = i
		}
		if !c.known && c.wait == 0 && (free < 0 || c.cost < cs[free].cost) {
			free = i
		}
	}
	switch {
	case known < 0:
		return best
	case cs[best].known && !p.late(now, w, cs[known]):
		return best
	case free >= 0 && p.spareOf(w.Service).take(cs[free].run):
		return free
	}
	return known
}

// late reports whether a candidate's answer would miss the objective because of its queue. While the service
// is not overloaded a later answer is better than none.
func (p *Placer) late(now time.Time, w Work, c candidate) bool {
	patience := 0.0
	if w.room {
		patience = roomPatience
	}
	return c.wait > 0 && p.end(now, c).After(w.Objective.Add(time.Duration(patience*float64(w.Route.Objective))))
}

// end is when a candidate's answer would be with the caller.
func (p *Placer) end(now time.Time, c candidate) time.Time {
	return now.Add(c.wait + c.run + p.config.Trip(c.target.Region))
}

// candidates estimates all targets that may have the request.
func (p *Placer) candidates(now time.Time, pool *cataloger.Pool, w Work) []candidate {
	e := p.pace(w)
	mean := p.mean(w.Service)
	ts := p.order(pool, w)
	cs := make([]candidate, 0, len(ts))
	rank, left := 0, p.spreadOf(now, w, ts)
	for _, t := range ts {
		if len(w.Regions) > 0 && !slices.Contains(w.Regions, t.Region) || slices.Contains(w.Tried, t.Name) {
			continue
		}
		s := p.state(now, t)
		own := t.Region == p.config.Region
		if !left.has(own) && !s.unused(now) {
			continue
		}
		cold := now.Before(t.ColdUntil)
		if cold && !p.config.Cold.Sends(t.Name) || !s.open(now) {
			rank++
			continue
		}
		c := candidate{target: t, state: s, known: w.Object == "" || s.objects.has(w.key)}
		c.run = time.Duration(float64(e.expected(c.known, rank)) * s.slowness(now))
		if cold {
			c.run *= coldSlowness
		}
		c.wait = s.wait(now, t.Slots, mean)
		c.cost = c.wait + c.run + p.config.Trip(t.Region) + s.charge(e)
		if t.Region != p.config.Region {
			c.cost += time.Duration(farCharge * float64(w.Route.Objective))
		}
		if !c.known {
			c.cost += time.Duration(float64(c.run)*(strangeCost-1)) + time.Duration(float64(rank)*rankStep*float64(e.strange.value()))
		}
		if s.unused(now) && c.wait == 0 && w.Route.Idempotent && p.config.Cold.Sends(t.Name) {
			c.cost = 0
		}
		cs = append(cs, c)
		left.take(own)
		rank++
	}
	return cs
}

// reject returns a refusal if the best candidate cannot answer in time.
func (p *Placer) reject(now time.Time, w Work, c candidate) *responder.Refusal {
	end := p.end(now, c)
	switch {
	case c.wait > 0 && end.After(w.Deadline):
		return tooLate(end.Sub(w.Deadline))
	case p.late(now, w, c):
		return tooLate(end.Sub(w.Objective))
	}
	// Without a queue only measured work tells that a request is hopeless, not a first guess.
	if e := p.pace(w); e.known.n >= measuredRuns && now.Add(e.known.value()+p.config.Trip(c.target.Region)).After(w.Deadline) {
		return tooLate(minRetryAfter)
	}
	return nil
}

func tooLate(excess time.Duration) *responder.Refusal {
	return &responder.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     responder.NoSlot,
		Ran:        responder.NotRun,
		Message:    "all targets have queues that end too late for this request",
		RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter),
	}
}

func noTarget() *responder.Refusal {
	return &responder.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     responder.NoOwner,
		Ran:        responder.NotRun,
		Message:    "no target may have this request at present",
		RetryAfter: noTargetRetryAfter,
	}
}

func (p *Placer) start(now time.Time, w Work, c candidate) *Lease {
	c.state.inFlight++
	c.state.used = now
	// Requests for the object that follow run after this one.
	c.state.objects.add(w.key)
	return &Lease{
		Target: c.target,
		Wait:   c.wait,
		Run:    c.run,
		Known:  c.known,
		work:   w,
		start:  now,
		sent:   now,
		alone:  c.wait == 0,
	}
}

// order returns the targets of a pool in the object's own order, which all instances share.
func (p *Placer) order(pool *cataloger.Pool, w Work) []*cataloger.Target {
	k := orderKey{service: w.Service, object: w.key}
	if o, ok := p.orders[k]; ok && o.pool == pool {
		return o.targets
	}
	if len(p.orders) >= maxOrders {
		clear(p.orders)
	}
	type scored struct {
		target *cataloger.Target
		score  uint64
	}
	s := make([]scored, len(pool.Targets))
	for i, t := range pool.Targets {
		s[i] = scored{target: t, score: xxhash.Sum64String(k.object + "\x00" + t.Name)}
	}
	slices.SortFunc(s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ts := make([]*cataloger.Target, len(s))
	for i := range s {
		ts[i] = s[i].target
	}
	p.orders[k] = order{pool: pool, targets: ts}
	return ts
}

// objectKey names an object of a route; routes have objects of their own.
func objectKey(w Work) string {
	return w.Route.Prefix + "\x00" + w.Object
}

// Told records the load that a target told with its answer.
func (p *Placer) Told(now time.Time, l *Lease, o Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	s.answered = now
	s.tell(now, o)
}

// Sent records that the first byte of a request goes to its target: the opening of a connection is no work of the target.
func (p *Placer) Sent(now time.Time, l *Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sent = now
}

// Heard takes over the number of requests that another instance has on each target.
func (p *Placer) Heard(now time.Time, instance string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.targets {
		if k := inFlight[n]; k > 0 {
			if s.peers == nil {
				s.peers = map[string]report{}
			}
			s.peers[instance] = report{inFlight: k, at: now}
		} else {
			delete(s.peers, instance)
		}
	}
}

// InFlight returns the number of requests of this instance on each target that has some.
func (p *Placer) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]int{}
	for n, s := range p.targets {
		if s.inFlight > 0 {
			m[n] = s.inFlight
		}
	}
	return m
}

// Describe adds what is known of a target to its description.
func (p *Placer) Describe(now time.Time, t *cataloger.Target, d *informer.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[t.Name]
	if s == nil || s.started != t.Started {
		d.Slowness = 1
		return
	}
	d.InFlight, d.Load = s.inFlight, s.load(now)
	d.PausedSeconds = max(0, s.pausedTo.Sub(now).Seconds())
	d.Faults, d.Slowness, d.Objects = s.faults, s.slowness(now), len(s.objects.at)
}

// End ends a lease; a second call does nothing.
func (p *Placer) End(now time.Time, l *Lease, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	s := p.state(now, l.Target)
	s.inFlight--
	if o == Answered || o == Failed || o == Shed {
		s.answered = now
	}
	s.end(now, o)
	if o == Unreached || o == Shed {
		s.objects.remove(l.work.key)
	}
	if o != Answered {
		return
	}
	d := now.Sub(l.sent) - p.config.Trip(l.Target.Region)
	if l.alone {
		p.observe(now, l, s, d)
	}
	p.meanOf(l.work.Service).add(min(d, l.Wait+4*l.Run) - l.Wait)
	if l.Known {
		p.spareOf(l.work.Service).add(l.Run)
	}
}

// observe learns from the time that a request took while no other one waited.
func (p *Placer) observe(now time.Time, l *Lease, s *target, d time.Duration) {
	e := p.pace(l.work)
	known := l.Known
	if !known && d < e.middle() {
		// Another instance's request made the object known.
		known = true
	}
	expected := e.work(known)
	if now.Before(l.Target.ColdUntil) || l.start.Before(l.Target.ColdUntil) {
		return
	}
	s.ratio.add(float64(d) / float64(max(expected, time.Millisecond)))
	e.learn(known, d)
}

// Patience is how long a request may take before its target is suspected to be gone.
func (l *Lease) Patience() time.Duration {
	return l.Wait + patienceRuns*l.Run + patienceSlack
}

// Suspect pauses the target of a request that had no answer yet, unless the target answered another one since the
// request began; it reports whether it did.
func (p *Placer) Suspect(now time.Time, l *Lease) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	if l.ended || s.answered.After(l.start) {
		return false
	}
	s.end(now, Silent)
	s.pausedTo = now.Add(suspectPause)
	s.trial = true
	return true
}

// Lose records that another target has the address of a target, which gets nothing until its row changes.
func (p *Placer) Lose(now time.Time, t *cataloger.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(now, t).pausedTo = now.Add(lostPause)
}

// Keep drops what is known of targets that are not in the catalog any more.
func (p *Placer) Keep(has func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.targets {
		if s.inFlight == 0 && !has(n) {
			delete(p.targets, n)
		}
	}
}
