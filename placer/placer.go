package placer

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// rankPenalty is the fraction of an object's uncached processing time added to the cost for each further place in
	// the object's order of targets, so that instances without data choose the same targets.
	rankPenalty = 0.04
	// uncachedCostFactor scales the cost of a run on a target that has not cached the object, because it occupies the
	// slot longer than it would elsewhere.
	uncachedCostFactor = 1.3
	// minFreeShare is the fraction of targets with a free slot from which on a service does not count as overloaded.
	minFreeShare = 0.1
	// maxLateness is the fraction of the objective by which an answer may be late while the service is not
	// overloaded.
	maxLateness = 1.0
	// remoteRegionPenalty is the fraction of the objective added to the cost of a target in another region, because
	// links between regions are narrow and shared.
	remoteRegionPenalty = 0.5
	// introductionDelay is how long a target that joined later waits for its first request before the instance that
	// sends to it while it is cold gives it one.
	introductionDelay = 500 * time.Millisecond
	// coldSlowness is the factor by which processing takes longer on a cold target.
	coldSlowness = 2
	// minRetryAfter and maxRetryAfter bound the retry delay sent to a rejected caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// noTargetRetryAfter is the retry delay when no target may get a request; pauses after faults start at 300 ms.
	noTargetRetryAfter = 250 * time.Millisecond
	// suspicionRuns is the number of expected runs, and suspicionSlack the network allowance, after which the target
	// of an unanswered request is suspected to be down.
	suspicionRuns  = 3
	suspicionSlack = 250 * time.Millisecond
	// suspectPause is how long a suspected target gets no requests.
	suspectPause = time.Second
	// minSamples is the number of samples from which on the mean processing time is used to reject requests.
	minSamples = 10
	// misaddressedPause is how long a target gets no requests after another target was found at its address; its row
	// should be removed within that time. If it is not, one request finds out again, and goes elsewhere as not run.
	misaddressedPause = 10 * time.Second
	// maxOrders bounds the number of cached target orders.
	maxOrders = 4096
)

// Config configures a Placer.
type Config struct {
	// Region is the region of the instance.
	Region string
	// Trip returns the round-trip time to a region.
	Trip func(region string) time.Duration
	// Cold decides whether this instance may send to a cold target at all, and limits the rate.
	Cold Gate
	// Abstainer holds the targets that asked for no requests; nil stands for none.
	Abstainer *abstainer.Abstainer
	// Throttle limits the rate to targets that state one; nil limits none.
	Throttle Throttle
}

// Gate limits the requests that all instances together send to cold targets.
type Gate interface {
	Sends(target string) bool
	Take(now time.Time, target string, rate float64) bool
}

// Throttle limits the requests that all instances together send to targets that state a rate.
type Throttle interface {
	// Take reports whether a request may be sent now, and counts it if so.
	Take(now time.Time, target string, started int64) bool
	// Interval returns the mean time between two requests that a target takes, or 0 if it states no rate.
	Interval(target string, started int64) time.Duration
}

// unthrottled limits no target.
type unthrottled struct{}

func (unthrottled) Take(time.Time, string, int64) bool   { return true }
func (unthrottled) Interval(string, int64) time.Duration { return 0 }

// Work is a request to place.
type Work struct {
	Route   *cataloger.Route
	Service string
	// Object identifies what the request is about; it is empty if unknown.
	Object string
	// Regions lists the regions where the request may run; empty allows all.
	Regions []string
	// Objective is the time after which an answer loses part of its value, Deadline the time after which it has none.
	Objective, Deadline time.Time
	// Tried lists the targets that the request was already sent to.
	Tried []string

	key string
	// hasHeadroom is true if the service is not overloaded.
	hasHeadroom bool
}

// Lease is a request that is assigned to a target.
type Lease struct {
	Target *cataloger.Target
	// Wait and Run are the estimated queueing and processing times by which the target was selected.
	Wait, Run time.Duration
	// Known is true if the object was assumed to be in the target's cache.
	Known bool

	work  Work
	start time.Time
	// sent is when the first byte was sent to the target.
	sent  time.Time
	ended bool
	// unqueued is true if the target was estimated to have a free slot at the start.
	unqueued bool
}

// Placer keeps load and performance estimates of targets; it is safe for concurrent use.
type Placer struct {
	config Config

	mu          sync.Mutex
	targets     map[string]*target
	times       map[processingKey]*processingTimes
	replication map[string]*replicationBudget
	orders      map[orderKey]order
	demands     map[string]*demand
	// firstRequestAt is when the first request arrived.
	firstRequestAt time.Time
}

type orderKey struct{ service, object string }

type order struct {
	pool    *cataloger.Pool
	targets []*cataloger.Target
}

// New returns a placer without measurements.
func New(c Config) *Placer {
	if c.Abstainer == nil {
		c.Abstainer = abstainer.New(abstainer.Config{})
	}
	if c.Throttle == nil {
		c.Throttle = unthrottled{}
	}
	return &Placer{config: c, targets: map[string]*target{}, times: map[processingKey]*processingTimes{}, replication: map[string]*replicationBudget{}, orders: map[orderKey]order{}, demands: map[string]*demand{}}
}

// candidate is a target with its estimates for a request.
type candidate struct {
	target *cataloger.Target
	state  *target
	wait   time.Duration
	run    time.Duration
	// cost orders the candidates; it is the time until the answer plus penalties for uncached objects, faults and
	// other regions.
	cost   time.Duration
	cached bool
}

// Choose assigns a request to a target, or returns a refusal. The caller must end the lease.
func (p *Placer) Choose(now time.Time, pool *cataloger.Pool, w Work) (*Lease, *responder.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstRequestAt.IsZero() {
		p.firstRequestAt = now
	}
	w.key = objectKey(w)
	cs := p.candidates(now, pool, w)
	w.hasHeadroom = serviceHasHeadroom(cs)
	for len(cs) > 0 {
		i, replicates := p.best(now, w, cs)
		c := cs[i]
		if f := p.reject(now, w, c); f != nil {
			return nil, f
		}
		if p.admits(now, pool, c.target) {
			if replicates {
				p.replicationFor(w.Service).spend(c.run)
			}
			return p.start(now, w, c), nil
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return nil, noTarget(p.returnAfter(now, pool, w))
}

// Throttled returns the targets that may have a request and state a rate, the one that would answer first at the beginning.
func (p *Placer) Throttled(now time.Time, pool *cataloger.Pool, w Work) []*cataloger.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.key = objectKey(w)
	cs := slices.DeleteFunc(p.candidates(now, pool, w), func(c candidate) bool {
		return p.config.Throttle.Interval(c.target.Name, c.target.Started) == 0 || p.reject(now, w, c) != nil
	})
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	ts := make([]*cataloger.Target, len(cs))
	for i, c := range cs {
		ts[i] = c.target
	}
	return ts
}

// admits reports whether the rate to a target that is cold or states one allows a further request, and counts it if so.
func (p *Placer) admits(now time.Time, pool *cataloger.Pool, t *cataloger.Target) bool {
	if now.Before(t.ColdUntil) && !p.config.Cold.Take(now, t.Name, pool.ColdRate) {
		return false
	}
	return p.config.Throttle.Take(now, t.Name, t.Started)
}

// serviceHasHeadroom reports whether enough targets have a free slot for the service not to be overloaded.
func serviceHasHeadroom(cs []candidate) bool {
	n := 0
	for _, c := range cs {
		if c.wait == 0 {
			n++
		}
	}
	return float64(n) >= minFreeShare*float64(len(cs))
}

// best returns the index of the candidate to use. Targets that have cached the object take precedence. If one that
// has not is cheaper, or the cheapest one that has would be late, a target with a free slot is chosen as long as the
// service's replication budget covers the run; replicates then reports that it has to be spent.
func (p *Placer) best(now time.Time, w Work, cs []candidate) (best int, replicates bool) {
	cached, free := -1, -1
	for i, c := range cs {
		if c.cost < cs[best].cost {
			best = i
		}
		if c.cached && (cached < 0 || c.cost < cs[cached].cost) {
			cached = i
		}
		if !c.cached && c.wait == 0 && (free < 0 || c.cost < cs[free].cost) {
			free = i
		}
	}
	switch {
	case cached < 0:
		return best, false
	case cs[best].cached && !p.late(now, w, cs[cached]):
		return best, false
	case free >= 0 && p.replicationFor(w.Service).covers(cs[free].run):
		return free, true
	}
	return cached, false
}

// late reports whether queueing would make a candidate's answer miss the objective. While the service is not
// overloaded, an answer may be late by maxLateness.
func (p *Placer) late(now time.Time, w Work, c candidate) bool {
	patience := 0.0
	if w.hasHeadroom {
		patience = maxLateness
	}
	return c.wait > 0 && p.answerTime(now, c).After(w.Objective.Add(time.Duration(patience*float64(w.Route.Objective))))
}

// answerTime returns when a candidate's answer would reach the caller.
func (p *Placer) answerTime(now time.Time, c candidate) time.Time {
	return now.Add(c.wait + c.run + p.config.Trip(c.target.Region))
}

// allows reports whether the request may run in a region; a request with a limit runs in no unknown one.
func (w Work) allows(region string) bool {
	return len(w.Regions) == 0 || region != "" && slices.Contains(w.Regions, region)
}

// candidates estimates all targets that may run the request.
func (p *Placer) candidates(now time.Time, pool *cataloger.Pool, w Work) []candidate {
	e := p.timesFor(w)
	mean := p.meanTime(w.Service)
	ts := p.order(pool, w)
	cs := make([]candidate, 0, len(ts))
	rank, left := 0, p.quotaFor(now, w, ts)
	for _, t := range ts {
		if !w.allows(t.Region) || slices.Contains(w.Tried, t.Name) {
			continue
		}
		s := p.state(now, t)
		local := t.Region == p.config.Region
		if !left.allows(local) && !s.unused(now) {
			continue
		}
		cold := now.Before(t.ColdUntil)
		if cold && !p.config.Cold.Sends(t.Name) || !s.available(now) || !p.wanted(now, t, s) {
			rank++
			continue
		}
		c := candidate{target: t, state: s, cached: w.Object == "" || s.cache.contains(w.key)}
		c.run = time.Duration(float64(e.expected(c.cached, rank)) * s.slowness(now))
		if cold {
			c.run *= coldSlowness
		}
		c.wait = s.wait(now, t.Slots, mean)
		c.cost = c.wait + c.run + p.config.Trip(t.Region) + s.faultPenalty(e)
		if t.Region != p.config.Region {
			c.cost += time.Duration(remoteRegionPenalty * float64(w.Route.Objective))
		}
		if !c.cached {
			c.cost += time.Duration(float64(c.run)*(uncachedCostFactor-1)) + time.Duration(float64(rank)*rankPenalty*float64(e.uncached.average()))
		}
		if s.unused(now) && c.wait == 0 && w.Route.Idempotent && p.config.Cold.Sends(t.Name) {
			c.cost = 0
		}
		cs = append(cs, c)
		left.use(local)
		rank++
	}
	return cs
}

// wanted reports whether a target wants a further request. After a rest its slots come into use again by degrees, one by one.
func (p *Placer) wanted(now time.Time, t *cataloger.Target, s *target) bool {
	share := p.config.Abstainer.Share(now, incarnation(t))
	return share >= 1 || share > 0 && s.load(now)+1 <= max(share*float64(t.Slots), 1)
}

func incarnation(t *cataloger.Target) abstainer.Incarnation {
	return abstainer.Incarnation{Name: t.Name, Started: t.Started}
}

// returnAfter returns the time until a target may have the request, as far as targets stated it: the earliest end of a rest if
// all targets rest or leave, and otherwise noTargetRetryAfter, or the interval of the fastest target if all state a rate. Targets
// that were tried count, as the caller's next attempt may go there.
func (p *Placer) returnAfter(now time.Time, pool *cataloger.Pool, w Work) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, t := range pool.Targets {
		if !w.allows(t.Region) {
			continue
		}
		switch leaving, rest := p.config.Abstainer.State(now, incarnation(t)); {
		case leaving:
		case rest > 0:
			earliest = min(earliest, rest)
		default:
			earliest = min(earliest, max(noTargetRetryAfter, p.config.Throttle.Interval(t.Name, t.Started)))
		}
	}
	if earliest == math.MaxInt64 {
		return noTargetRetryAfter
	}
	return min(max(earliest, minRetryAfter), maxRetryAfter)
}

// reject returns a refusal if the best candidate cannot answer in time.
func (p *Placer) reject(now time.Time, w Work, c candidate) *responder.Refusal {
	end := p.answerTime(now, c)
	switch {
	case c.wait > 0 && end.After(w.Deadline):
		return tooLate(end.Sub(w.Deadline))
	case p.late(now, w, c):
		return tooLate(end.Sub(w.Objective))
	}
	// Without a queue, reject only on measured processing times, not on initial estimates.
	if e := p.timesFor(w); e.cached.samples >= minSamples && now.Add(e.cached.average()+p.config.Trip(c.target.Region)).After(w.Deadline) {
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

func noTarget(after time.Duration) *responder.Refusal {
	return &responder.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     responder.NoOwner,
		Ran:        responder.NotRun,
		Message:    "no target may have this request at present",
		RetryAfter: after,
	}
}

func (p *Placer) start(now time.Time, w Work, c candidate) *Lease {
	c.state.inFlight++
	c.state.lastUsed = now
	// Later requests for the object on this target run after this one and find the object cached.
	c.state.cache.add(w.key)
	return &Lease{
		Target:   c.target,
		Wait:     c.wait,
		Run:      c.run,
		Known:    c.cached,
		work:     w,
		start:    now,
		sent:     now,
		unqueued: c.wait == 0,
	}
}

// order returns the targets of a pool in the object's rendezvous-hash order, which is the same at all instances.
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

// objectKey returns the key of an object; objects are distinct per route.
func objectKey(w Work) string {
	return w.Route.Prefix + "\x00" + w.Object
}

// Told records the load that a target reported with its answer.
func (p *Placer) Told(now time.Time, l *Lease, o Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	s.lastAnswered = now
	s.recordLoad(now, o)
}

// Sent records that the first byte of a request is sent to its target, so that connection setup does not count as
// processing time.
func (p *Placer) Sent(now time.Time, l *Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sent = now
}

// Heard records another instance's number of requests in flight on each target.
func (p *Placer) Heard(now time.Time, instance string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.targets {
		if k := inFlight[n]; k > 0 {
			if s.peers == nil {
				s.peers = map[string]peerReport{}
			}
			s.peers[instance] = peerReport{inFlight: k, at: now}
		} else {
			delete(s.peers, instance)
		}
	}
}

// InFlight returns this instance's number of requests in flight on each target that has any.
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

// Describe adds the current estimates of a target to its status.
func (p *Placer) Describe(now time.Time, t *cataloger.Target, d *informer.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[t.Name]
	if s == nil || s.started != t.Started {
		d.Slowness = 1
		return
	}
	d.InFlight, d.Load = s.inFlight, s.load(now)
	d.PausedSeconds = max(0, s.pausedUntil.Sub(now).Seconds())
	d.Faults, d.Slowness, d.Objects = s.faultRate, s.slowness(now), len(s.cache.elements)
}

// End ends a lease and records the outcome; a second call has no effect.
func (p *Placer) End(now time.Time, l *Lease, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	s := p.state(now, l.Target)
	s.inFlight--
	if o == Answered || o == Failed || o == Shed || o == Declined {
		s.lastAnswered = now
	}
	s.recordOutcome(now, o)
	if o == Unreached || o == Shed || o == Declined && !l.Known {
		s.cache.remove(l.work.key)
	}
	if o != Answered {
		return
	}
	d := now.Sub(l.sent) - p.config.Trip(l.Target.Region)
	if l.unqueued {
		p.observe(now, l, s, d)
	}
	p.serviceMean(l.work.Service).add(min(d, l.Wait+4*l.Run) - l.Wait)
	if l.Known {
		p.replicationFor(l.work.Service).earn(l.Run)
	}
}

// observe records the processing time of a request that did not queue.
func (p *Placer) observe(now time.Time, l *Lease, s *target, d time.Duration) {
	e := p.timesFor(l.work)
	cached := l.Known
	if !cached && d < e.midpoint() {
		// A request of another instance had put the object into the cache.
		cached = true
	}
	expected := e.estimate(cached)
	if now.Before(l.Target.ColdUntil) || l.start.Before(l.Target.ColdUntil) {
		return
	}
	s.slowdown.add(float64(d) / float64(max(expected, time.Millisecond)))
	e.record(cached, d)
}

// Patience returns how long a request may take before its target is suspected to be down.
func (l *Lease) Patience() time.Duration {
	return l.Wait + suspicionRuns*l.Run + suspicionSlack
}

// Suspect pauses the target of an unanswered request and reports whether it did. It does nothing if the target
// answered another request since this one began.
func (p *Placer) Suspect(now time.Time, l *Lease) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	if l.ended || s.lastAnswered.After(l.start) {
		return false
	}
	s.recordOutcome(now, Silent)
	s.pausedUntil = now.Add(suspectPause)
	s.halfOpen = true
	return true
}

// Lose pauses a target after another target was found at its address. The pause ends early if its row names another address or
// another process.
func (p *Placer) Lose(now time.Time, t *cataloger.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, t)
	s.lost, s.pausedUntil = t.Address, now.Add(misaddressedPause)
}

// Keep discards the state of targets that are no longer in the catalog.
func (p *Placer) Keep(has func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.targets {
		if s.inFlight == 0 && !has(n) {
			delete(p.targets, n)
		}
	}
}
